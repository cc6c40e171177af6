import { z } from 'zod';

import { SECTION_NAMES, SECTION_SCHEMAS, type SectionName } from '../../src';

import { table } from './table';

const FORMAT = `Why CSV: round sheets and timetables are already kept in spreadsheets, and a CSV file opens there as
one tab. In a review one change is one changed row, and a mistake is named by row and field. YAML
and JSON were considered: YAML reads \`no\` and \`1:30\` in surprising ways, and in JSON a target takes
ten lines. One file rather than one for each section, so that a sheet is always taken as a whole.`;

const RULES = `- A line \`[targets]\` starts a section, the next line names its columns in any order, each further
  line is a row. All sections must be present; \`[operations]\` may be empty of rows.
- Empty lines and lines that start with \`#\` are skipped. A byte order mark and CRLF line ends are
  accepted. The file is UTF-8 and at most 1 MB.
- Names are lower-case letters, digits and dashes, 1 to 63 long.
- Names are unique in their section, and so are \`address\` with \`port\` or \`peer_port\`, and \`service\`
  with \`method\` and \`path_prefix\`. A zone, service or class must have a row in its own section.
- \`cold_limit\` and \`connections\` are compared with \`slots\`; the \`reserved_percent\` of all classes is
  at most 90 together.
- Operations that no row names have the class of their service; GET, HEAD, OPTIONS, PUT and DELETE
  are then idempotent.
- Check a sheet with \`limpetknotctl sheet check FILE\`; it names all mistakes in one go.`;

interface ColumnSchema {
  readonly description?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly type?: string;
  readonly enum?: readonly string[];
  readonly pattern?: string;
  readonly format?: string;
  readonly anyOf?: readonly ColumnSchema[];
}

function schemaOf(schema: z.ZodType, io: 'input' | 'output'): ColumnSchema {
  return z.toJSONSchema(schema, { io, unrepresentable: 'any' }) as ColumnSchema;
}

function allowedValues(schema: z.ZodType): string {
  const output = schemaOf(schema, 'output');
  const input = schemaOf(schema, 'input');
  if (output.minimum !== undefined) {
    const kind = output.type === 'integer' ? 'whole number' : 'number';
    const largest = output.maximum === Number.MAX_SAFE_INTEGER ? '' : ` to ${output.maximum}`;
    return `${kind}, ${output.minimum}${largest === '' ? ' or more' : largest}`;
  }
  if (input.enum !== undefined) return input.enum.join(', ');
  if (input.format === 'date') return 'YYYY-MM-DD';
  if (input.anyOf !== undefined) return input.anyOf.map(({ format }) => format).join(' or ');
  return input.pattern?.startsWith('^\\/') ? 'path' : 'name';
}

function sectionText(section: SectionName): string {
  const columns: readonly [string, z.ZodType][] = Object.entries(SECTION_SCHEMAS[section].shape);
  const rows = columns.map(([name, schema]) => [
    `\`${name}\``,
    allowedValues(schema),
    schemaOf(schema, 'output').description ?? '',
  ]);
  return `## [${section}]\n\n${table(['column', 'values', 'meaning'], rows)}\n`;
}

/** Page docs/sheet.md. */
export function sheetPage(): string {
  return [
    '# The daily sheet\n',
    'Written by `npm run docs` from the schema in `src/sheet/schema.ts`. Examples:',
    '`examples/derwent-vale.csv`, `examples/saryarka.csv`.\n',
    `## Format\n\n${FORMAT}\n\n${RULES}\n`,
    ...SECTION_NAMES.map(sectionText),
  ].join('\n');
}
