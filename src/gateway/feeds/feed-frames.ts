/** Frames in which a reader sends the pages of the store's feeds to other gateways. */
import { deflateRawSync, inflateRawSync } from 'node:zlib';

import { Packr } from 'msgpackr';

import { HeldBytes } from '../../adapters/held-bytes';
import { isCount, isString, type KeyedRecord, type PositionedPage } from '../../model';

/** The feeds by their number in frames. */
export const FEEDS = ['config', 'upstreams'] as const;
export type FeedName = (typeof FEEDS)[number];

/** What a reader sends: a page of a feed, or a sign that it is in contact with the store. */
export type FeedFrame =
  | { readonly kind: 'page'; readonly feed: FeedName; readonly page: PositionedPage }
  | { readonly kind: 'beat' };

const LENGTH_BYTES = 4;
/** Size in bytes that a frame may not exceed; a page of the store has at most 1 MB of values. */
const MAX_FRAME_BYTES = 8 * 2 ** 20;

/** Set in the length of a frame whose body is compressed. */
const DEFLATED_FLAG = 2 ** 31;
/** Size in bytes of a body below which compression saves less than its own cost. */
const MIN_DEFLATED_BYTES = 1024;
/** Fastest level of zlib, as one host compresses what dozens receive. */
const DEFLATE_LEVEL = 1;

const packr = new Packr({ useRecords: false });

/**
 * Encodes a frame: its length, then `[]` or `[feed, isSnapshot, from, position, records]`, which is
 * compressed if it is long and the receiver can inflate it.
 */
export const encodeFeedFrame = (frame: FeedFrame, isDeflated = false): Buffer => {
  const fields =
    frame.kind === 'beat'
      ? []
      : [
          FEEDS.indexOf(frame.feed),
          frame.page.isSnapshot,
          frame.page.from,
          frame.page.position,
          frame.page.items.map(({ key, value }) => [key, value]),
        ];
  const body = packr.pack(fields);
  const head = Buffer.alloc(LENGTH_BYTES);
  if (!isDeflated || body.length < MIN_DEFLATED_BYTES) {
    head.writeUInt32BE(body.length);
    return Buffer.concat([head, body]);
  }
  const deflated = deflateRawSync(body, { level: DEFLATE_LEVEL });
  head.writeUInt32BE(DEFLATED_FLAG + deflated.length);
  return Buffer.concat([head, deflated]);
};

const decodeRecord = (value: unknown): readonly KeyedRecord[] => {
  if (!Array.isArray(value)) return [];
  const [key, bytes] = value as readonly unknown[];
  return isString(key) && Buffer.isBuffer(bytes) ? [{ key, value: bytes }] : [];
};

const decodeBody = (body: Buffer): FeedFrame | undefined => {
  const fields: unknown = packr.unpack(body);
  if (!Array.isArray(fields)) return undefined;
  if (fields.length === 0) return { kind: 'beat' };
  const [number, isSnapshot, from, position, records] = fields as readonly unknown[];
  const feed = isCount(number) ? FEEDS[number] : undefined;
  if (feed === undefined || typeof isSnapshot !== 'boolean') return undefined;
  if (!isCount(from) || !isCount(position) || !Array.isArray(records)) return undefined;
  const items = (records as readonly unknown[]).flatMap(decodeRecord);
  if (items.length !== records.length) return undefined;
  if (!isSnapshot && position - from !== items.length) return undefined;
  return { kind: 'page', feed, page: { isSnapshot, items, from, position } };
};

/** What the length at the start of a frame says of its body. */
interface BodyHead {
  readonly length: number;
  readonly isDeflated: boolean;
}

const decodeHead = (bytes: Buffer): BodyHead => {
  const value = bytes.readUInt32BE(0);
  const isDeflated = value >= DEFLATED_FLAG;
  return { length: isDeflated ? value - DEFLATED_FLAG : value, isDeflated };
};

/** Splits a stream of bytes into frames. */
export class FeedFrameDecoder {
  private readonly held = new HeldBytes();

  /** The head of the frame whose body is awaited. */
  private head: BodyHead | undefined;

  /** Bytes of memory that the part of a frame that has arrived takes. */
  get memoryBytes(): number {
    return this.held.memoryBytes;
  }

  /** Returns the frames that `chunk` completes; undefined if the stream is malformed. */
  push(chunk: Buffer): readonly FeedFrame[] | undefined {
    this.held.push(chunk);
    const frames: FeedFrame[] = [];
    for (;;) {
      if (!this.head && this.held.length >= LENGTH_BYTES)
        this.head = decodeHead(this.held.take(LENGTH_BYTES));
      if (!this.head) return frames;
      const { length, isDeflated } = this.head;
      if (length > MAX_FRAME_BYTES) return undefined;
      if (this.held.length < length) return frames;
      this.head = undefined;
      const body = this.held.take(length);
      try {
        const frame = decodeBody(
          isDeflated ? inflateRawSync(body, { maxOutputLength: MAX_FRAME_BYTES }) : body,
        );
        if (!frame) return undefined;
        frames.push(frame);
      } catch {
        return undefined;
      }
    }
  }
}
