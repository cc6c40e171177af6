import { environmentVariableOf } from './readSettings';
import { type SettingTable } from './settingDefinition';

/** Formats the settings of a table with variable, unit, default and description. */
export function helpText(table: SettingTable): string {
  const lines = Object.entries(table).flatMap(([flag, definition]) => {
    if (definition.isSwitch) return [`  --${flag}`, `      ${definition.description}`];
    const defaultText =
      definition.fallback === null ? 'required' : `default '${definition.fallback}'`;
    const unit = definition.unit === '' ? '' : `, ${definition.unit}`;
    return [
      `  --${flag}, ${environmentVariableOf(flag)} (${defaultText}${unit})`,
      `      ${definition.description}`,
    ];
  });
  return lines.join('\n');
}
