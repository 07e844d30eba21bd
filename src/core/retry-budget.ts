const MAX_TOKEN_COUNT = 10;

/** Tokens for second attempts: each first attempt earns a part of one, each second costs one. */
export class RetryBudget {
  private tokens = MAX_TOKEN_COUNT;

  /** `ratio` is second attempts allowed for each first one, 0 to 1. */
  constructor(private readonly ratio: number) {}

  /** A first attempt was made. */
  earn(): void {
    this.tokens = Math.min(MAX_TOKEN_COUNT, this.tokens + this.ratio);
  }

  /** Takes a token; false when there is none. */
  take(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
