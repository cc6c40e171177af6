/** A complete answer as a caller received it; names of headers are in lower case. */
export interface ReceivedAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

const HEAD_START = /^HTTP\/1\.1 (\d{3}) /;
const HEAD_END = '\r\n\r\n';

/** Reads answers with a length, one after the other, from the bytes of a connection. */
export class AnswerReader {
  /** Whether bytes arrived that are no answer in the protocol. */
  isBroken = false;

  private position = 0;

  /** Returns the answers that are complete in `text`, all bytes so far, and were not returned before. */
  read(text: string): readonly ReceivedAnswer[] {
    const answers: ReceivedAnswer[] = [];
    for (let answer = this.next(text); answer !== null; answer = this.next(text))
      answers.push(answer);
    return answers;
  }

  private next(text: string): ReceivedAnswer | null {
    const headEnd = text.indexOf(HEAD_END, this.position);
    if (this.isBroken || headEnd < 0) return null;
    const [statusLine, ...lines] = text.slice(this.position, headEnd).split('\r\n');
    const headers = new Map(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    const status = HEAD_START.exec(statusLine!)?.[1];
    const length = Number(headers.get('content-length'));
    this.isBroken = status === undefined || !Number.isInteger(length);
    const bodyStart = headEnd + HEAD_END.length;
    if (this.isBroken || text.length < bodyStart + length) return null;
    this.position = bodyStart + length;
    return { status: Number(status), headers, body: text.slice(bodyStart, this.position) };
  }
}
