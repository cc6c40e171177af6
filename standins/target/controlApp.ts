import { Hono } from 'hono';
import * as z from 'zod';

import { targetSettingsSchema } from './targetSettings';
import { type TargetStandin } from './targetStandin';
import { truthOf } from './targetTruth';

const changesSchema = z.record(z.string(), z.unknown());

/** Control API of a process that runs target stand-ins; standins/README.md lists the paths. */
export function controlApp(targets: ReadonlyMap<string, TargetStandin>): Hono {
  const app = new Hono();
  app.get('/truth', (context) => context.json([...targets.values()].map(truthOf)));
  app.post('/targets/:id/settings', async (context) => {
    const target = targets.get(context.req.param('id'));
    if (target === undefined) return context.notFound();
    const changes = changesSchema.parse(await context.req.json());
    const checked = targetSettingsSchema.safeParse({ ...target.settings, ...changes });
    if (!checked.success) return context.text(checked.error.message, 400);
    target.configure(checked.data);
    return context.json(target.settings);
  });
  app.post('/targets/:id/:action', (context) => {
    const target = targets.get(context.req.param('id'));
    if (target === undefined) return context.notFound();
    const actions: Readonly<Record<string, () => void>> = {
      cold: () => target.turnCold(),
      crash: () => target.crash(),
    };
    const action = actions[context.req.param('action')];
    if (action === undefined) return context.notFound();
    action();
    return context.json({ instance: target.instance });
  });
  return app;
}
