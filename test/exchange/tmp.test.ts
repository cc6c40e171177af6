import { ManualClock, SeededRandom } from '../../src/runtime';
import { SimulatedHosts } from './simulatedHosts';
test('tmp', async () => {
  const clock = new ManualClock();
  const network = new SimulatedHosts(clock, new SeededRandom(3), ['a'], () => ['10.0.0.1','10.0.0.2','10.9.9.9']);
  for (let i=0;i<280;i++) network.start(`host-${i}`, 'a', `10.0.0.${i}`);
  const out: unknown[] = [];
  await network.advance(3000); network.lossRatio = 0.05;
  for (let t=0;t<4;t++){ for (const h of network.hosts.values()) {h.sentDatagrams=0;h.sentBytes=0;} await network.advance(4000);
    const n=network.liveHosts().map(h=>h.exchange.membership.neighbours().length);
    const ages=network.liveHosts().flatMap(h=>[...h.exchange.membership.ages().values()]).sort((a,b)=>a-b);
    const b=[...network.hosts.values()].reduce((a,h)=>a+h.sentBytes,0);
    out.push([t, Math.min(...n), b/280/4, ages[ages.length>>1], ages[Math.floor(ages.length*.99)], ages[ages.length-1]]); }
  console.log(JSON.stringify(out));
}, 300000);
