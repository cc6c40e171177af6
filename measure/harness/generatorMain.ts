import { LoadGenerator } from './loadGenerator';
import { type LoadPlan } from './plan';

// Entry point of the generator process; the plan and the result use the IPC channel of fork().
process.once('message', (plan: LoadPlan) => {
  void new LoadGenerator(plan).run().then((result) => {
    process.send!(result, () => process.disconnect());
  });
});
