/** The part of docs/CAPACITY.md on the balancer, measured by hand. */
export const BALANCER_CAPACITY = `## The balancer on the users' platform

Bytes between hosts at rest, in simulated time with three zones and two of three seeds out of date
(\`test/exchange/simulatedHosts.ts\`); a host's datagrams, without UDP headers.

| hosts | mean B/s | largest B/s of a host | datagrams/s |
| --- | --- | --- | --- |
| 3 | 188 | 188 | 4.0 |
| 17 | 802 | 1,700 | 27.5 |
| 20 | 879 | 2,145 | 32.5 |
| 27 | 1,044 | 3,440 | 44.0 |
| 33 | 503 | 507 | 7.0 |
| 60 | 775 | 777 | 7.0 |
| 113 | 1,307 | 1,321 | 7.0 |
| 400 | 2,843 | 2,860 | 5.0 |

All are within 6 KB/s. From 28 hosts on (10 in a zone) digests of a fixed number a second are sent, which list the
hosts of the zone: 30 B/s for each (20 B/s in zones of more than 100). Below, each host tells all others of its zone that it lives, and one host
of each zone passes on the members of the others. Reports on targets come on top; they grow with the targets that
a host probes, not with the hosts of other zones.

With 22 calls a second on each host, heartbeats included (\`PRINT_BYTES=1 npx jest test/exchange\`):

| hosts | neighbours | mean B/s | largest B/s of a host | mean before | largest before |
| --- | --- | --- | --- | --- | --- |
| 3 | 0 | 704 | 726 | | |
| 17 | 5 | 5,275 | 6,166 | 8,481 | 16,628 |
| 18 | 5 | 5,585 | 6,550 | 8,963 | 17,335 |
| 20 | 6 | 6,166 | 7,241 | 9,951 | 21,962 |
| 24 | 7 | 7,407 | 8,026 | 11,866 | 28,018 |
| 27 | 8 | 8,262 | 9,617 | 13,224 | 33,881 |
| 33 | 10 | 504 | 507 | | |
| 113 | 37 | 1,308 | 1,323 | | |

Before: heartbeats in JSON, and counts that one host of a zone passed on for all others. At 17 hosts 329 B/s are
signs of life (1,348 before), 474 lists of members (828) and 4,473 counts of calls in flight (6,305), of which 3,260
are the changed counts themselves, 5 bytes each. A host sends each change to all hosts of all small zones: 280 B/s
for each other host. From 20 to 27 hosts this exceeds 6 KB/s (KNOWN-RED.txt). Zones of more than 9
hosts tell none, so that 33 and 113 hosts send what they send at rest; what that costs in answers at these
sizes is not measured. One day of dvwda-gully-grown (113 hosts), before these changes, took 0.08 cores a
host and more processor time than the bench allows a day; it has not been run since.
Processor time on the users' bench rose from 0.087 to 0.098 cores a host at saryarka-gate
(trouble-2 and scale-2, 13 hosts) and from 0.12 to 0.155 at dvwda-gully (scale-1, 17 hosts), when counts were added.

Notices of targets that leave (\`PRINT_BYTES=1 npx jest test/exchange/noticeBytes\`), B/s that a host sends: one target
after the other leaves at this pace, three hosts learn of each at the same moment and tell all others, and each
is replaced 3 s later (4 s in the rows of 0.5, 1 and 4; in the latter none was replaced before the end). 2 targets
a second replace 7,100 in an hour.

| hosts | targets/s | notices, mean | notices, largest | all messages, mean | all, largest |
| --- | --- | --- | --- | --- | --- |
| 17, 113, 312 | 0 | 0 | 0 | 801, 1,266, 2,100 | 1,598, 1,279, 2,124 |
| 17 | 0.5 | 500 | 533 | 1,656 | 2,374 |
| 17 | 1 | 671 | 834 | 2,072 | 3,276 |
| 17 | 2 | 763 | 931 | 2,544 | 4,165 |
| 17 | 4 | 1,005 | 1,294 | 1,808 | 2,566 |
| 113 | 0.5 | 523 | 820 | 2,173 | 7,503 |
| 113 | 1 | 707 | 1,288 | 2,601 | 11,663 |
| 113 | 2 | 867 | 1,618 | 3,185 | 18,849 |
| 113 | 4 | 1,213 | 2,706 | 2,459 | 3,963 |
| 312 | 2 | 872 | 4,618 | 4,752 | 28,186 |

The slope is 140 to 200 B/s for each target a second, whatever the number of hosts, since each host is told once by each
host that learned at the same moment; about 400 B/s of repetition come on top while any target is leaving. At rest
notices take no bytes and no pass over the targets. The rest of the growth are changes of the catalog, of which the
reader of a zone sends one to each neighbour: the largest host exceeds 6 KB/s at 113 hosts with a change every
two seconds.
Weighed: notices for the users of a target only. They would save most of the slope, but hosts without a
free slot among their targets send calls to others too, and a zone without targets of a service uses those of
other zones; the hosts that become users when others leave would learn from the repetition, seconds later.

Proofs that the configuration is the newest one
(\`PRINT_PROOFS=1 npx jest test/freshness/proofsOfFleets\`, seed 1, 6 s at rest; bytes of datagrams without headers):

| hosts | zones | confirmations/s, before and after | all store calls/s | B/s of a host, mean | largest | datagrams/s of a host | oldest proof (s) | start: last proof (s), store calls |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
| 17 | 3 | 3.5, 1.2 | 5.0, 2.7 | 16, 18 | 59, 67 | 2.2, 2.5 | 1.50, 1.60 | 0.20, 3 |
| 48 | 3 | 3.5, 1.2 | 5.0, 2.7 | 19, 19 | 178, 196 | 2.5, 2.6 | 1.50, 1.60 | 0.28, 3 |
| 129 | 5 | 6.7, 1.3 | 9.2, 3.8 | 19, 20 | 296, 323 | 2.6, 2.6 | 1.50, 1.60 | 0.36, 5 |
| 312 | 5 | 6.7, 1.3 | 9.2, 3.8 | 20, 20 | 734, 758 | 2.6, 2.7 | 1.50, 1.70 | 0.36, 5 |

Before: the reader of each zone confirmed. Now that of one zone does, and the calls that are left are the watches of the
readers, 0.4 to 0.5 a second and zone, which hosts without tenants make too; confirmations are the only reads that tenants
add (a second read follows one whose history is gone). Confirmations don't grow with the zones (with a store that takes
over 0.25 s to answer, up to all zones confirm; calculated). Bytes of the largest host, which is a reader, grow with the hosts of its zone: 12 B/s
for each. A zone of 280 hosts would cost its reader 3.3 KB/s (calculated).

The figures above are with tenants, when hosts asked every 0.7 s. Since proofs are kept for every configuration and
renewed by their age, the same command gives, with changes to be in use within 2 s (a longer bound takes fewer calls):

| hosts | zones | confirmations/s | all store calls/s | B/s of a host, mean | largest | datagrams/s of a host | oldest proof (s) | start: last proof (s), store calls |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
| 17 | 3 | 1.2 | 2.7 | 16 | 61 | 2.2 | 1.00 | 0.20, 3 |
| 25 | 1 | 1.3 | 1.8 | 17 | 252 | 2.2 | 1.00 | 0.35, 1 |
| 48 | 3 | 1.2 | 2.7 | 17 | 176 | 2.3 | 1.00 | 0.28, 3 |
| 129 | 5 | 1.3 | 3.8 | 17 | 289 | 2.3 | 1.00 | 0.36, 5 |
| 312 | 5 | 1.3 | 3.8 | 19 | 743 | 2.6 | 1.15 | 0.36, 5 |

Deployments without tenants pay all of this now, where they made the calls of the watches only.

Quotas of tenants (\`PRINT_QUOTAS=1 npx jest test/quota/quotaCost\`, seed 1, on 9c5e249 with the test of a5c174f):
83 tenants of 2 to 100 calls a second, 5 calls a second at each host, three zones, no loss, 0.2 ms one way within a
zone and 0.5 ms between zones. Datagrams and bytes that a host sends a second, questions and answers together; the time
is counted in steps of 0.5 ms, of which a decision takes up to two more.

| hosts | datagrams/s | mean B/s | largest B/s of a host | time added: p50, p90, p99, most (ms) |
| --- | --- | --- | --- | --- |
| 17 | 9.0 | 70 | 88 | 1, 1, 1, 1 |
| 48 | 10.3 | 84 | 144 | 1, 1, 2, 2 |
| 129 | 12.5 | 114 | 245 | 1, 2, 2, 2 |

The bytes of a host grow with its calls, and not with the hosts but for redirections of questions to hosts that are
not the owner. Tenants without a limit send nothing and wait for nothing (same command).

On the users' bench, 17 hosts and 39 targets, quiet-1 of dvwda-gully: 0.055 cores and 55.8 MB a host,
114 store calls in 42 s for all hosts. 5.5% of a core is above 1.5%: probes and answers at 20 a second a
target make up most of it. The mechanisms: one reader a zone for the store, one prober a target, all-to-
all datagrams in a zone only. The sweep to 300 hosts
was not run; of the grown sites one day of a twin with 19 hosts: 0.056 cores and 66 MB a host.

### Messages under normal load in large zones

\`npm run measure -- calm-load\` on the fleet model, 6.5 calls a second and host, three zones, seed 1; payload of the datagrams
between hosts with membership, reports and in-flight counts, KB a second and host (docs/measurements.md has all columns and
the lengths of the runs). A call costs two datagrams to each other user of its target, at most 16.

| hosts a zone | 1 slot, before and after | 2 slots, before and after | 3 slots, before and after |
| --- | --- | --- | --- |
| 12 | 3.21, 3.46 | 2.47, 2.66 | 2.04, 2.27 |
| 25 | 5.91, 4.18 | 4.64, 4.20 | 4.12, 3.77 |
| 43 | not run | 5.41, 4.82 | not run |
| 66 | 7.39, 5.57 | 6.03, 5.56 | not run, 5.17 |

### Periodic work of a host

| work | period | passes over | slope |
| --- | --- | --- | --- |
| gossip of notices | 500 ms | leaving targets and suspected calls (5,000 at most) | none at rest; before, all targets: 46 µs a pass at 7,100 |
| lost targets | 100 ms | unconfirmed targets, or those that the host uses where they are fewer | 0.02 µs a used target: 8.4 µs a pass for 418 of 7,100; before, all targets: 253 µs |
| in-flight counts, expiry | 100 ms | counts received within 1.2 s | hosts times targets that they use, in groups of at most 17 hosts |
| in-flight counts, repetition | 100 ms | targets that this host called within a second | its calls |
| hosts of the zone | 100 ms | hosts of the zone, sorted | 4 µs a pass for 37 hosts |
| change of the hosts of the zone | when it happens | targets of the zone times its hosts; targets of all zones for the health checks | 720 replacements a day |
| change of the catalog | when it happens | targets of all zones, several times | 7,600 changes a day |
| membership | 50 ms at most, and each datagram of a host | hosts seen within two hours | hosts of the zone and some of the others |
| liveness, seeds, silent hosts | 100 ms to 1 s | neighbours, hosts seen within two hours | the same |
| health checks | 45 to 400 ms each | one timer a checked target | targets of the zone over its hosts: 11.4 |
| quotas of tenants | 500 ms | tenants with a limit | 0.04 to 0.2 ms a pass for 83 tenants and 129 hosts; 1.8 to 4.8 ms, before what a host owns was kept |
| waiting calls | 6 ms and more, each | preferred targets of the service, and 12 others | calls that wait, not the fleet |
| settings file | \`settings-check-ms\` | one file | none |

In the gateway: idle connections while it stops, warnings each second (hosts and targets of its view) and the flush
of metrics.
`;
