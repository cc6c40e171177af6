import { createServer, type Server, type Socket } from 'node:net';

import { request } from 'undici';

import { type LocalFleet, startLocalFleet } from './support/localFleet';

const SERVICE = 'booking';
const COPY_AFTER_MS = 20;
const ANSWER_AFTER_MS = 80;

function answerText(status: number, id: string | null, body: string): string {
  return [
    `HTTP/1.1 ${status} x`,
    ...(id === null ? [] : [`Limpetknot-Call-Id: ${id}`]),
    ...(status === 503 ? ['Limpetknot-Outcome: not-run'] : []),
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** A target on plain sockets; `onCall` answers what is not a health check. */
function startTarget(onCall: (socket: Socket, id: string) => void): Server {
  return createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      const text = chunk.toString('latin1');
      const id = /^limpetknot-call-id: (\S+)/im.exec(text)?.[1];
      if (id !== undefined) onCall(socket, id);
      else if (text.startsWith('GET ')) socket.write(answerText(200, null, ''));
    });
  });
}

describe('copies of answers at the gateway', () => {
  const servers: Server[] = [];

  const sockets = new Set<Socket>();

  let fleet: LocalFleet;

  afterEach(async () => {
    for (const server of servers.splice(0)) server.close();
    for (const socket of sockets) socket.destroy();
    sockets.clear();
    await fleet.stop();
  });

  async function start(
    count: number,
    onCall: (socket: Socket, id: string, target: number) => void,
  ) {
    const targets = [];
    for (let index = 0; index < count; index += 1) {
      const server = startTarget((socket, id) => onCall(socket, id, index));
      server.on('connection', (socket) => sockets.add(socket));
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      servers.push(server);
      const { port } = server.address() as { port: number };
      targets.push({ id: `t-${index}`, zone: 'zone-1', port });
    }
    fleet = await startLocalFleet({
      sheet: (text) => text.replace(/,1024,10,0.5/g, ',1024,100,0.5'),
      services: [{ name: SERVICE, timeLimitMs: 1000, targets }],
    });
  }

  async function call(): Promise<readonly [number, string]> {
    const answer = await request(`${fleet.urls[0]}/${SERVICE}/x`, { method: 'POST', body: 'x' });
    const body = await answer.body.text();
    return [answer.statusCode, answer.statusCode === 200 ? body : ''];
  }

  // Guards against giving a caller the answer of an earlier call, and against sending a call that
  // runs to a second target, when a target that repeats ids writes an earlier answer once more.
  it.each([200, 503].flatMap((status) => [true, false].map((hasId) => ({ status, hasId }))))(
    'does not end the next call: status $status, id $hasId',
    async ({ status, hasId }) => {
      const lastIds = new Map<number, string>();
      let runs = 0;
      await start(2, (socket, id, target) => {
        const lastId = lastIds.get(target);
        lastIds.set(target, id);
        if (lastIds.size < 2 || lastId === undefined) socket.write(answerText(200, id, id));
        else {
          runs += 1;
          const copy = answerText(status, hasId ? lastId : null, lastId);
          setTimeout(() => socket.write(copy), COPY_AFTER_MS);
          setTimeout(() => socket.write(answerText(200, id, 'own')), ANSWER_AFTER_MS);
        }
      });
      while (lastIds.size < 2) await call();
      expect(await call()).toEqual([502, '']);
      expect(runs).toBe(1);
    },
  );

  // Guards against doubting sound targets: those that never repeat ids, and one that is replaced by
  // such a target.
  it.each([
    { echoes: [false, false, false], statuses: [200, 200, 200] },
    { echoes: [true, true, true], statuses: [200, 200, 200] },
    { echoes: [true, false, false], statuses: [200, 502, 200] },
  ])('believes the only target: ids $echoes', async ({ echoes, statuses }) => {
    let calls = 0;
    await start(1, (socket, id) => {
      socket.write(answerText(200, echoes[calls]! ? id : null, 'own'));
      calls += 1;
    });
    const replies = [];
    while (replies.length < echoes.length) replies.push((await call())[0]);
    expect(replies).toEqual(statuses);
  });
});
