/** Connects a node's configuration state to the platform's log and to its peers. */
import PQueue from 'p-queue';

import {
  packMessage,
  unpackMessage,
  type ConfigEffect,
  type ConfigEvent,
  type ConfigState,
  type Freshness,
} from '../core';
import {
  CONFIG_STREAM,
  type ChangeRecord,
  type CheckpointRecord,
  type Config,
  type Instant,
  type Millis,
  type Tip,
} from '../model';
import type { Clock, ListedHost, LogError, PeerLink, PlatformLog, Telemetry } from '../ports';

const TICK_PERIOD_MS: Millis = 100;
const APPEND_TIMEOUT_MS: Millis = 5000;

/** Holds the parts of the node that the task uses. */
export interface ConfigFollowerContext {
  readonly state: ConfigState;
  readonly log: PlatformLog;
  readonly peers: PeerLink;
  readonly clock: Clock;
  readonly telemetry: Telemetry;
  /**
   * Called for each configuration that takes effect; `record` is the change that led to it, or
   * undefined when several did.
   */
  onAccepted(config: Config, record: ChangeRecord | undefined): void;
}

/** Returns the event for a failed read of the log. */
const readFailureEvent = (err: LogError): ConfigEvent =>
  err.kind === 'log-trimmed' ? { kind: 'log-trimmed', first: err.first } : { kind: 'log-failed' };

/** Owns the configuration; events are applied one at a time. */
export class ConfigFollower {
  private readonly mailbox = new PQueue({ concurrency: 1 });

  private readonly ticker: NodeJS.Timeout;

  private isClosed = false;

  constructor(private readonly context: ConfigFollowerContext) {
    this.ticker = setInterval(() => this.enqueue({ kind: 'tick' }), TICK_PERIOD_MS);
  }

  /** Returns the configuration in effect; its version is 0 before the first one. */
  current(): Config {
    return this.context.state.config;
  }

  /** Returns this node's position in the configuration stream. */
  tip(): Tip {
    return this.context.state.tip;
  }

  /** Returns whether this node may take work on its configuration, and who confirmed that. */
  freshness(now: Instant): Freshness {
    return this.context.state.freshness(now);
  }

  /** Returns whether this node may take work on its configuration. */
  isFresh(now: Instant): boolean {
    return this.freshness(now) !== 'stale';
  }

  /** Handles a message of topic `config`; counts malformed ones. */
  receive(body: unknown): void {
    unpackMessage(body).caseOf({
      Left: (err) => this.context.telemetry.count('config-message-refused', { reason: err.kind }),
      Right: (message) => this.enqueue({ kind: 'message', message }),
    });
  }

  /** Takes a newly read host list. */
  read(listed: readonly ListedHost[]): void {
    this.enqueue({ kind: 'members', listed });
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.ticker);
  }

  private enqueue(event: ConfigEvent): void {
    if (this.isClosed) return;
    const { state, clock } = this.context;
    void this.mailbox.add(() =>
      state.apply(event, clock.now()).forEach((effect) => this.carryOut(effect)),
    );
  }

  private carryOut(effect: ConfigEffect): void {
    const { peers, telemetry, onAccepted } = this.context;
    switch (effect.kind) {
      case 'read-log':
        void this.readLog(effect.from, effect.wait);
        return;
      case 'append-checkpoint':
        void this.appendCheckpoint(effect.record);
        return;
      case 'send':
        peers.send(effect.to, { topic: 'config', body: packMessage(effect.message) });
        return;
      case 'accepted':
        telemetry.event('config-accepted', {
          version: effect.config.version,
          publishId: effect.record?.publishId ?? 'several',
          upstreams: effect.config.inventory.size,
        });
        telemetry.gauge('config-version', effect.config.version);
        onAccepted(effect.config, effect.record);
        return;
      case 'count':
        telemetry.count('config', { what: effect.what });
    }
  }

  /** Reads the log from offset `from` on, waiting up to `wait` milliseconds for new records. */
  private async readLog(from: number, wait: Millis): Promise<void> {
    const { log, clock, telemetry } = this.context;
    const sentAt = clock.now();
    const batch = await log.read(CONFIG_STREAM, from, sentAt + wait);
    batch.caseOf({
      Left: (err) => {
        telemetry.count('config-read-failed', { reason: err.kind });
        this.enqueue(readFailureEvent(err));
      },
      Right: (records) => this.enqueue({ kind: 'log-batch', sentAt, batch: records }),
    });
  }

  private async appendCheckpoint(record: CheckpointRecord): Promise<void> {
    const { log, clock, telemetry } = this.context;
    const result = await log.append(CONFIG_STREAM, record, clock.now() + APPEND_TIMEOUT_MS);
    const outcome = result.caseOf({ Left: ({ kind }) => kind, Right: () => 'appended' });
    telemetry.event('config-checkpoint', { version: record.tip.version, outcome });
  }
}
