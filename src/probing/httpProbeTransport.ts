import { request, type Dispatcher } from 'undici';
import * as z from 'zod';

import { type ProbeAnswer } from '../routing';
import { type Target } from '../sheet';

import { type ProbeTransport } from './probeTransport';

const MAX_BODY_BYTES = 4096;

const bodySchema = z.object({
  instance: z.string().nullable().catch(null),
  load: z.number().min(0).max(1).nullable().catch(null),
});

const KIND_BY_STATUS: Readonly<Record<number, ProbeAnswer['kind']>> = {
  200: 'ready',
  503: 'draining',
};

function withoutDetails(kind: ProbeAnswer['kind']): ProbeAnswer {
  return { kind, instance: null, utilization: null };
}

function parseBody(text: string, kind: ProbeAnswer['kind']): ProbeAnswer {
  try {
    const body = bodySchema.safeParse(JSON.parse(text));
    if (!body.success) return withoutDetails(kind);
    return { kind, instance: body.data.instance, utilization: body.data.load };
  } catch {
    // Without a JSON body only the status counts.
    return withoutDetails(kind);
  }
}

async function readText(body: Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) return '';
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Probes targets by `GET /readyz`. */
export class HttpProbeTransport implements ProbeTransport {
  constructor(private readonly dispatcher: Dispatcher) {}

  async probe(target: Target, signal: AbortSignal): Promise<ProbeAnswer> {
    const { address, port } = target;
    const host = address.includes(':') ? `[${address}]` : address;
    try {
      const response = await request(`http://${host}:${port}/readyz`, {
        dispatcher: this.dispatcher,
        signal,
      });
      const kind = KIND_BY_STATUS[response.statusCode] ?? 'failed';
      return parseBody(await readText(response.body), kind);
    } catch {
      return withoutDetails(signal.aborted ? 'failed' : 'unreachable');
    }
  }
}
