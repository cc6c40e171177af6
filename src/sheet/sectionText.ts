/** The lines of one section, without the line of its title. */
export interface SectionText {
  /** Name in the title; null for the lines before the first title. */
  readonly name: string | null;
  /** Line of the title, from 1; 0 for the lines before the first title. */
  readonly row: number;
  readonly text: string;
}

// A title stands alone in the first cell; spreadsheets add empty cells, and some add quotes.
const TITLE = /^\s*"?\[([^\]"]*)\]"?\s*(,|$)/;

/**
 * Splits a sheet at its titles. Within a section all rows have one width; csv-parse takes several
 * times as long for a file in which the widths differ.
 */
export function splitSections(text: string): readonly SectionText[] {
  const lines = text.replace(/^\ufeff/, '').split(/\r\n|\n|\r/);
  const titles = lines.flatMap((line, index) => {
    const name = TITLE.exec(line)?.[1];
    return name === undefined ? [] : [{ name: name.trim(), row: index + 1 }];
  });
  const first = { name: null, row: 0 };
  return [first, ...titles].map(({ name, row }, index) => {
    const end = titles[index]?.row ?? lines.length + 1;
    return { name, row, text: lines.slice(row, end - 1).join('\n') };
  });
}
