import { ManualClock, SeededRandom } from '../../src/runtime';
import { SimulatedHosts } from './simulatedHosts';
const ZONES = ['a','b','c','d','e'];
test.each([[113,3],[135,3],[143,4],[312,5]])('tmp', async (size, zc) => {
  const clock = new ManualClock();
  const zones = ZONES.slice(0,zc);
  const network = new SimulatedHosts(clock, new SeededRandom(3), zones, () => ['10.0.0.1','10.0.0.2','10.9.9.9']);
  for (let i=0;i<size;i++) network.start(`host-${i}`, zones[i%zc]!, `10.0.0.${i}`);
  const out: unknown[] = [];
  for (const t of [500,1000,2500,3000]){ await network.advance(t);
    const n=network.liveHosts().map(h=>h.exchange.membership.neighbours().length);
    const d=[...network.hosts.values()].reduce((a,h)=>a+h.sentDatagrams,0), b=[...network.hosts.values()].reduce((a,h)=>a+h.sentBytes,0);
    out.push([t, Math.min(...n), n.reduce((a,b)=>a+b,0)/n.length, d, b]); for (const h of network.hosts.values()) {h.sentDatagrams=0;h.sentBytes=0;} }
  console.log(size, JSON.stringify(out));
}, 120000);
