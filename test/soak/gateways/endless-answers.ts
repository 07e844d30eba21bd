/** Answers of upstreams that have no end, that stop before it, or that come in small pieces. */
import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

import { inPieces } from '../../../standins/platform';
import { answerHead, writeWithoutEnd } from '../../process/busy-gateways';

/** Writes an upstream's answer to request `id`. */
export type AnswerWriter = (socket: Socket, id: string) => void;

export const ENDLESS_FORMS = [
  'status-line',
  'header-line',
  'headers',
  'interim',
  'trailers',
  'chunk-extension',
  'other-ids',
  'random',
  'until-close',
  'large-chunks',
  'pieces',
] as const;
/** The part of an answer that has no end. */
export type EndlessForm = (typeof ENDLESS_FORMS)[number];

/** How a streamed answer breaks off. */
export type StreamEnd = 'end' | 'reset' | 'silence';

const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const BLOCK_BYTES = 16 * 1024;
/** Length of the bodies that come in pieces of one byte. */
export const PIECE_COUNT = 20_000;
/** Announced and written length of an answer that is held until it is whole, and never is. */
const HELD_BYTES = 2_000_000;
const HELD_SENT = Buffer.alloc(1_900_000, 'x');
/** Announced and written length of an answer that is streamed, as it is more than a gateway holds. */
const STREAMED_BYTES = 4 * 2 ** 20;
const STREAMED_SENT = Buffer.alloc(2.5 * 2 ** 20, 'x');
/** Time for which requests behind a streamed answer can run before it breaks off. */
const STREAM_PAUSE_MS = 300;

/** Returns the start of an endless answer, and what follows it again and again. */
const textOf = (form: EndlessForm, id: string): readonly [string, string] => {
  const headStart = answerHead(id, '').slice(0, -'\r\n'.length);
  const block = 'x'.repeat(BLOCK_BYTES);
  switch (form) {
    case 'status-line':
      return ['HTTP/1.1 200 ', block];
    case 'header-line':
      return [`${headStart}X-Long: `, block];
    case 'headers':
      return [headStart, 'X-More: x\r\n'];
    case 'interim':
      return ['', 'HTTP/1.1 103 Early Hints\r\nX-More: x\r\n\r\n'];
    case 'trailers':
      return [`${answerHead(id, CHUNKED)}0\r\n`, 'X-More: x\r\n'];
    case 'chunk-extension':
      return [`${answerHead(id, CHUNKED)}1;`, block];
    case 'other-ids':
      return ['', `${answerHead('another', 'Content-Length: 2\r\n')}ok`];
    case 'random':
      return ['', randomBytes(BLOCK_BYTES).toString('latin1')];
    case 'until-close':
      return [answerHead(id, 'Connection: close\r\n'), block];
    case 'large-chunks':
      return [answerHead(id, CHUNKED), `${BLOCK_BYTES.toString(16)}\r\n${block}\r\n`];
    case 'pieces':
      return [answerHead(id, CHUNKED), '1\r\nx\r\n'];
  }
};

export const answerWithoutEnd =
  (form: EndlessForm): AnswerWriter =>
  (socket, id) => {
    const [start, repeated] = textOf(form, id);
    socket.write(start, 'latin1');
    writeWithoutEnd(socket, repeated);
  };

/** Answers with a whole body of `body` in pieces of one byte. */
export const answerInPieces = (socket: Socket, id: string, body: string): void => {
  socket.write(answerHead(id, CHUNKED));
  socket.write(inPieces(Buffer.from(body)));
  socket.write('0\r\n\r\n');
};

/** Answers with as many pieces of one byte, and without the end of the body. */
export const stopWithinPieces: AnswerWriter = (socket, id) => {
  socket.write(answerHead(id, CHUNKED));
  socket.write(inPieces(Buffer.alloc(PIECE_COUNT, 'x')));
};

export const stopHalfway: AnswerWriter = (socket, id) => {
  socket.write(answerHead(id, `Content-Length: ${HELD_BYTES}\r\n`));
  socket.write(HELD_SENT);
};

export const breakStream =
  (end: StreamEnd): AnswerWriter =>
  async (socket, id) => {
    socket.write(answerHead(id, `Content-Length: ${STREAMED_BYTES}\r\n`));
    socket.write(STREAMED_SENT);
    await sleep(STREAM_PAUSE_MS);
    switch (end) {
      case 'end':
        socket.end();
        break;
      case 'reset':
        if (!socket.destroyed) socket.resetAndDestroy();
        break;
      case 'silence':
    }
  };
