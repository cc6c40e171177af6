/** The part of docs/CAPACITY.md on the balancer, measured by hand. */
export const BALANCER_CAPACITY = `## The balancer on the users' platform

Bytes between hosts at rest, in simulated time with three zones and two of three seeds out of date
(\`test/exchange/simulatedHosts.ts\`); a host's datagrams, without UDP headers.

| hosts | mean B/s | largest B/s of a host | datagrams/s |
| --- | --- | --- | --- |
| 3 | 364 | 364 | 4.0 |
| 17 | 2,157 | 4,207 | 27.5 |
| 33 | 3,791 | 9,300 | 54.0 |
| 60 | 4,377 | 9,966 | 68.5 |
| 113 | 4,833 | 11,988 | 75.3 |

The mean stays within 6 KB/s up to 113 hosts. The host that passes on what other zones say goes beyond
it from 33 hosts on, and 400 hosts in three zones need 19.1 KB/s (measured before silent hosts were
asked): heartbeats to all of a zone of 133 do not fit, and the shape for 400 is not built. Reports on
targets come on top; they grow with the targets that a host probes, not with the hosts of other zones.

With 22 calls a second on each host, heartbeats included (\`PRINT_BYTES=1 npx jest test/exchange\`):

| hosts | neighbours | mean B/s | largest B/s of a host |
| --- | --- | --- | --- |
| 3 | 0 | 1,084 | 1,124 |
| 17 | 5 | 8,464 | 16,593 |
| 33 | 10 | 3,791 | 7,200 |
| 113 | 37 | 4,835 | 12,469 |

Counts of calls in flight make up the difference; they exceed 6 KB/s at 17 hosts. Zones of more than 9
hosts tell none, so that 33 and 113 hosts send what they send at rest; what that costs in answers at these
sizes is not measured. One day of dvwda-gully-grown (113 hosts), before these changes, took 0.08 cores a
host and more processor time than the bench allows a day; it has not been run since.
Processor time on the users' bench rose from 0.087 to 0.098 cores a host at saryarka-gate
(trouble-2 and scale-2, 13 hosts) and from 0.12 to 0.155 at dvwda-gully (scale-1, 17 hosts).

Notices of targets that leave (\`PRINT_BYTES=1 npx jest test/exchange/noticeBytes\`), B/s that a host sends: one target
after the other leaves at this pace, three hosts learn of each at the same moment and tell all others, and each
is replaced 3 s later (4 s in the rows of 0.5, 1 and 4; in the latter none was replaced before the end). 2 targets
a second replace 7,100 in an hour.

| hosts | targets/s | notices, mean | notices, largest | all messages, mean | all, largest |
| --- | --- | --- | --- | --- | --- |
| 17, 113, 312 | 0 | 0 | 0 | 2,220, 1,352, 2,251 | 3,638, 1,366, 2,278 |
| 17 | 0.5 | 485 | 538 | 3,059 | 3,947 |
| 17 | 1 | 641 | 714 | 3,460 | 4,405 |
| 17 | 2 | 788 | 955 | 3,985 | 6,645 |
| 17 | 4 | 1,035 | 1,481 | 3,254 | 4,921 |
| 113 | 0.5 | 513 | 743 | 2,258 | 7,106 |
| 113 | 1 | 692 | 1,125 | 2,683 | 10,831 |
| 113 | 2 | 846 | 1,649 | 3,259 | 17,828 |
| 113 | 4 | 1,181 | 3,654 | 2,497 | 4,981 |
| 312 | 2 | 856 | 2,213 | 4,949 | 28,091 |

The slope is 160 to 190 B/s for each target a second, whatever the number of hosts, since each host is told once by each
host that learned at the same moment; about 400 B/s of repetition come on top while any target is leaving. At rest
notices take no bytes and no pass over the targets. The rest of the growth are changes of the catalog, of which the
reader of a zone sends one to each neighbour: the largest host exceeds 6 KB/s at 113 hosts with a change every
two seconds.
Weighed: notices for the users of a target only. They would save most of the slope, but hosts without a
free slot among their targets send calls to others too, and a zone without targets of a service uses those of
other zones; the hosts that become users when others leave would learn from the repetition, seconds later.

On the users' bench, 17 hosts and 39 targets, quiet-1 of dvwda-gully: 0.055 cores and 55.8 MB a host,
114 store calls in 42 s for all hosts. 5.5% of a core is above 1.5%: probes and answers at 20 a second a
target make up most of it. The mechanisms: one reader a zone for the store, one prober a target, all-to-
all datagrams in a zone only. The sweep to 300 hosts
was not run; of the grown sites one day of a twin with 19 hosts: 0.056 cores and 66 MB a host.

### Periodic work of a host

| work | period | passes over | slope |
| --- | --- | --- | --- |
| gossip of notices | 500 ms | leaving targets and suspected calls (5,000 at most) | none at rest; before, all targets: 46 µs a pass at 7,100 |
| lost targets | 100 ms | unconfirmed targets, or those that the host uses where they are fewer | 0.02 µs a used target: 8.4 µs a pass for 418 of 7,100; before, all targets: 253 µs |
| in-flight counts, expiry | 100 ms | counts received within 1.2 s | hosts times targets that they use, in groups of at most 9 hosts |
| in-flight counts, repetition | 100 ms | targets that this host called within a second | its calls |
| hosts of the zone | 100 ms | hosts of the zone, sorted | 4 µs a pass for 37 hosts |
| change of the hosts of the zone | when it happens | targets of the zone times its hosts; targets of all zones for the health checks | 720 replacements a day |
| change of the catalog | when it happens | targets of all zones, several times | 7,600 changes a day |
| membership | 50 ms at most, and each datagram of a host | hosts seen within two hours | hosts of the zone and some of the others |
| liveness, seeds, silent hosts | 100 ms to 1 s | neighbours, hosts seen within two hours | the same |
| health checks | 45 to 400 ms each | one timer a checked target | targets of the zone over its hosts: 11.4 |
| waiting calls | 6 ms and more, each | preferred targets of the service, and 12 others | calls that wait, not the fleet |
| settings file | \`settings-check-ms\` | one file | none |

In the gateway: idle connections while it stops, warnings each second (hosts and targets of its view) and the flush
of metrics.
`;
