import { variableOf } from './readSettings';
import { type SettingTable } from './settingDefinition';

/** Lists the settings of a table with variable, unit, default and meaning. */
export function helpText(table: SettingTable): string {
  const lines = Object.entries(table).flatMap(([flag, definition]) => {
    if (definition.isSwitch) return [`  --${flag}`, `      ${definition.description}`];
    const standard = definition.fallback === null ? 'required' : `default '${definition.fallback}'`;
    const unit = definition.unit === '' ? '' : `, ${definition.unit}`;
    return [
      `  --${flag}, ${variableOf(flag)} (${standard}${unit})`,
      `      ${definition.description}`,
    ];
  });
  return lines.join('\n');
}
