import { createSocket, type Socket } from 'node:dgram';

import { decodeMessage, encodeMessage } from '../../src/exchange/datagramCodec';
import { type Message } from '../../src/exchange/message';
import { answerText, ScriptedServer } from '../support/scriptedServer';
import { TestPlatform } from '../support/testPlatform';

const OTHER_HOST_IP = '127.0.0.2';
const STARTED_AT = 7;
const HEARTBEAT: Message = {
  kind: 'heartbeat',
  host: ['host-2', 'a', OTHER_HOST_IP],
  ...{ incarnation: 1, asOf: 0, newest: 0, fingerprint: 0, source: 'idle' },
  ...{ isLeaving: false, zoneSize: 2 },
};

describe('a target that says that it leaves', () => {
  let platform: TestPlatform;

  let server: ScriptedServer;

  let otherHost: Socket;

  /** Messages that the other host has received. */
  let received: (Message | null)[];

  async function send(message: Message): Promise<void> {
    otherHost.send(encodeMessage(message), platform.exchangePort, '127.0.0.1');
    await platform.sleep(50);
  }

  beforeEach(async () => {
    platform = new TestPlatform();
    server = new ScriptedServer('i-read');
    platform.configure([{ prefix: '/read/', service: 'reads', isIdempotent: true }]);
    const options = { id: 'i-read' };
    platform.register('reads', options, await server.listen(), { born: STARTED_AT });
    await platform.start();
    received = [];
    otherHost = createSocket('udp4');
    otherHost.on('message', (bytes) => received.push(decodeMessage(bytes)));
    await new Promise<void>((resolve) => {
      otherHost.bind(platform.exchangePort, OTHER_HOST_IP, resolve);
    });
    await send(HEARTBEAT);
  });

  afterEach(async () => {
    otherHost.close();
    await platform.stop();
    server.close();
  });

  function sendLeaving(startedAt: number): Promise<void> {
    return send({ kind: 'notices', crashes: [], leaving: [{ id: 'i-read', startedAt }] });
  }

  // Guards against calls to a target of whose leaving only another host has heard, and against a late
  // notice about its start before.
  it('gets no calls from hosts that are told by another one', async () => {
    await sendLeaving(STARTED_AT - 1);
    expect((await platform.call('GET', '/read/x')).status).toBe(200);
    await sendLeaving(STARTED_AT);
    expect((await platform.call('GET', '/read/x')).status).toBe(503);
    expect(server.received.length).toBe(1);
  });

  // Guards against a notice that is lost because it is sent once.
  it.each(['answer', 'health check'])('is told to other hosts again and again: %s', async (way) => {
    const leaving = (text: string) => text.replace('\r\n', '\r\nServer-Leaving: 1\r\n');
    const { onProbe } = server;
    if (way === 'answer')
      server.onCall = ({ socket, id }) => socket.write(leaving(answerText(id, 'x')));
    else
      server.onProbe = (request) => {
        const { socket } = request;
        const write = socket.write.bind(socket);
        socket.write = (text) => write(leaving(String(text)));
        onProbe(request);
        socket.write = write;
      };
    await platform.call('GET', '/read/x');
    await platform.sleep(1400);
    const notices = received.filter((message) => message?.kind === 'notices');
    expect(notices.length).toBeGreaterThanOrEqual(2);
    expect(notices[0]).toMatchObject({ leaving: [{ id: 'i-read', startedAt: STARTED_AT }] });
  });
});
