const LF = 0x0a;
const CR = 0x0d;

/** How the bytes before end: `line` behind a line end, `line-cr` behind a line end and a CR. */
type Position = 'start' | 'text' | 'line' | 'line-cr';

/**
 * Finds the ends of the heads of requests in what a connection sends, read by read: an empty line
 * that follows a line that is not.
 */
export class HeadScanner {
  private position: Position = 'start';

  /** Expects a head to begin. */
  restart(): void {
    this.position = 'start';
  }

  /**
   * Returns the number of bytes up to the end of the head that is being read, or undefined if it
   * goes on behind them. The bytes up to there count as read.
   */
  scan(bytes: Buffer): number | undefined {
    let at = 0;
    while (at < bytes.length) {
      if (this.position === 'text') {
        const lineEnd = bytes.indexOf(LF, at);
        if (lineEnd < 0) return undefined;
        this.position = 'line';
        at = lineEnd + 1;
      } else {
        const byte = bytes[at];
        const wasLine = this.position !== 'start';
        at += 1;
        if (byte === LF && wasLine) return at;
        if (byte === CR && this.position === 'line') this.position = 'line-cr';
        else if (wasLine || (byte !== CR && byte !== LF)) this.position = 'text';
      }
    }
    return undefined;
  }
}
