/** Number of second attempts that can be saved up. */
const MAX_TOKEN_COUNT = 10;

/** Limits second attempts by tokens: each first attempt earns a fraction, each second costs one. */
export class RetryBudget {
  private tokens = MAX_TOKEN_COUNT;

  /** Creates a budget that allows `ratio` second attempts for each first one, 0 to 1. */
  constructor(private readonly ratio: number) {}

  /** Adds the tokens for one first attempt. */
  earn(): void {
    this.tokens = Math.min(MAX_TOKEN_COUNT, this.tokens + this.ratio);
  }

  /** Takes a token; returns false if there is none. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
