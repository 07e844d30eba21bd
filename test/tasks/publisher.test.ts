import { expect } from 'earl';
import { beforeEach, describe, it } from 'node:test';

import { Replica } from '../../src/core';
import { Inventory, NO_RULES, type Config, type ConfigChange } from '../../src/model';
import { publish, restore, type PublisherDeps } from '../../src/tasks';
import { addUpstream, publication, upstream } from '../core/config/samples';
import { FakePlatformLog } from '../fakes/platform-log';

const PUBLISH_TIMEOUT_MS = 4000;
const clock = { now: () => performance.now(), wall: () => 0 };

describe('publish', () => {
  let log = new FakePlatformLog();

  beforeEach(() => {
    log = new FakePlatformLog();
  });

  const deps = (publishId: string): PublisherDeps => ({ log, clock, publishId });

  const follow = (): Replica => {
    const { first } = log.stream('config');
    return Replica.start.read(log.stream('config').read(first).unsafeCoerce()).replica;
  };

  const ids = (): readonly string[] =>
    follow()
      .config.inventory.all()
      .map(({ id }) => id);

  it('accepts a change, and reports when there is nothing to change', async () => {
    const result = await publish(deps('p1'), () => addUpstream('a'), PUBLISH_TIMEOUT_MS);
    expect(result.extract()).toEqual({
      kind: 'accepted',
      version: 1,
      publishId: 'p1',
      wasUnsure: false,
    });
    const again = await publish(deps('p2'), () => undefined, PUBLISH_TIMEOUT_MS);
    expect(again.extract()).toEqual({ kind: 'unchanged', version: 1 });
  });

  it('accepts one of two concurrent publications and reports a conflict to the other', async () => {
    const [one, other] = await Promise.all([
      publish(deps('p1'), () => addUpstream('a'), PUBLISH_TIMEOUT_MS),
      publish(deps('p2'), () => addUpstream('b'), PUBLISH_TIMEOUT_MS),
    ]);
    const kinds = [one, other].map((each) => (each.extract() as { readonly kind: string }).kind);
    expect(kinds.sort()).toEqual(['accepted', 'conflict']);
    expect(ids().length).toEqual(1);
  });

  it('applies a change once although the answers to two appends were lost', async () => {
    log.loseAnswers = 2;
    const result = await publish(deps('p1'), () => addUpstream('a'), PUBLISH_TIMEOUT_MS);
    expect(result.extract()).toEqual({
      kind: 'accepted',
      version: 1,
      publishId: 'p1',
      wasUnsure: true,
    });
    expect(log.stream('config').next).toEqual(3);
    expect(follow().tip.version).toEqual(1);
  });

  it('applies a change once although an append takes effect after its repetition', async () => {
    log.holdAppends = 1;
    log.heldFor = 600;
    const result = await publish(deps('p1'), () => addUpstream('a'), PUBLISH_TIMEOUT_MS);
    expect(result.isRight()).toEqual(true);
    await new Promise((resolve) => {
      setTimeout(resolve, 700);
    });
    expect(log.stream('config').next).toEqual(2);
    expect(follow().tip.version).toEqual(1);
  });

  it('reports a conflict that only shows when the log is read back', async () => {
    log.loseAnswers = 1;
    const competing = (): ConfigChange => {
      log.stream('config').append(publication('z', 0));
      return addUpstream('a');
    };
    const result = await publish(deps('p1'), competing, PUBLISH_TIMEOUT_MS);
    expect(result.extract()).toEqual({ kind: 'conflict', version: 1, publishId: 'p1' });
    expect(ids()).toEqual(['z']);
  });

  it('reports an unsure result when the log can not be read back', async () => {
    const failing = (): ConfigChange => {
      log.loseAnswers = 1000;
      return addUpstream('a');
    };
    const silent = {
      ...deps('p1'),
      log: {
        append: log.append.bind(log),
        read: async (stream: string, from: number, deadline: number) => {
          const result = await log.read(stream, from, deadline);
          return log.loseAnswers > 0 ? new FakePlatformLog().read('none', 0, 0) : result;
        },
      },
    };
    const result = await publish(silent, failing, 1500);
    expect(result.extract()).toEqual({ kind: 'unsure', publishId: 'p1' });
  });

  it('reports that nothing was published while the log is unavailable', async () => {
    log.outage = true;
    const result = await publish(deps('p1'), () => addUpstream('a'), 500);
    expect(result.extract()).toEqual({ kind: 'log-unavailable' });
    log.outage = false;
    expect(log.stream('config').next).toEqual(0);
  });

  it('restores a configuration only if the log has lost it', async () => {
    const config: Config = {
      version: 0,
      inventory: Inventory.from([upstream('x')]),
      rules: NO_RULES,
    };
    log.stream('config').append(publication('a', 0));
    const early = await restore(deps('p1'), config, PUBLISH_TIMEOUT_MS);
    expect(early.extract()).toEqual({ kind: 'config-present', version: 1 });
    log.stream('config').append(publication('b', 1));
    const behind = Replica.start.read({ ...log.stream('config').read(0).unsafeCoerce(), next: 1 });
    log.stream('config').trim(1);
    const lost = await publish(deps('p2'), () => addUpstream('c'), PUBLISH_TIMEOUT_MS);
    expect(lost.extract()).toEqual({ kind: 'config-lost' });
    const result = await restore(deps('p3'), config, PUBLISH_TIMEOUT_MS);
    expect(result.isRight()).toEqual(true);
    const batch = log.stream('config').read(1).unsafeCoerce();
    const newcomer = Replica.start.read(batch).replica;
    expect(newcomer.tip.version > behind.replica.tip.version).toEqual(true);
    expect(newcomer.config.inventory.all().map(({ id }) => id)).toEqual(['x']);
  });
});
