/** Text of one section, without its title line. */
export interface SectionText {
  /** Name in the title; null for the lines before the first title. */
  readonly name: string | null;
  /** Line number of the title, starting at 1; 0 for the lines before the first title. */
  readonly row: number;
  readonly text: string;
}

// A title is the only value of its line; spreadsheets append empty cells, and some add quotes.
const TITLE = /^\s*"?\[([^\]"]*)\]"?\s*(,|$)/;

/**
 * Splits a sheet at its section titles. All rows of a section have the same number of columns;
 * csv-parse takes several times as long for a text in which that number differs.
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
