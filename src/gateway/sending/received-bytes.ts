/**
 * Maximum number of bytes around the body of an answer: heads, interim answers, chunk framing and
 * trailers.
 */
const MAX_FRAMING_BYTES = 128 * 1024;
/** Number of bytes of framing that each byte of the body may add to that. */
const MAX_FRAMING_RATIO = 16;
/** Maximum number of bytes of answers to other requests that are skipped in an exchange. */
const MAX_SKIPPED_BYTES = 2 * 2 ** 20;
/** Maximum number of heads in an exchange: interim answers, and answers to other requests. */
const MAX_HEADS = 100;

/** Numbers of bytes received in an exchange, and of heads. */
export class ReceivedBytes {
  all = 0;

  /** Bytes of the answer's body. */
  body = 0;

  /** Bytes of the bodies of answers to other requests. */
  skipped = 0;

  heads = 0;

  /** Whether the upstream has sent more than an answer may have beside its body. */
  get isExcessive(): boolean {
    const framing = this.all - this.body - this.skipped;
    return (
      this.heads > MAX_HEADS ||
      framing > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * this.body ||
      this.skipped > MAX_SKIPPED_BYTES
    );
  }
}
