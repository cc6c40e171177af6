import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

/** Settings of the addresses that a host listens on. */
export const HOST_ADDRESSES = [
  'caller-address',
  'readiness-address',
  'control-address',
  'exchange-port',
  'metrics-port',
] as const;

/** Setting of an address that a host listens on. */
export type HostAddressName = (typeof HOST_ADDRESSES)[number];

type Release = () => void;

function holdStream(ip: string, port: number): Promise<Release> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.destroy();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, ip, () =>
      resolve(() => {
        server.close();
      }),
    );
  });
}

function holdDatagrams(ip: string, port: number): Promise<Release> {
  const socket = createSocket('udp4');
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind({ address: ip, port, exclusive: true }, () =>
      resolve(() => {
        socket.close();
      }),
    );
  });
}

const HOLDERS: Readonly<Record<HostAddressName, (ip: string, port: number) => Promise<Release>>> = {
  'caller-address': holdStream,
  'readiness-address': holdStream,
  'control-address': holdStream,
  'exchange-port': holdDatagrams,
  'metrics-port': holdStream,
};

/** Takes an address of a host that does not run; resolves to a function that frees it. */
export function holdAddress(
  settings: Readonly<Record<string, string>>,
  name: HostAddressName,
): Promise<Release> {
  const [ip] = settings['control-address']!.split(':');
  const port = Number(settings[name]!.split(':').at(-1));
  return HOLDERS[name](ip!, port);
}
