import { expect } from 'earl';
import { describe, it } from 'node:test';

import { HeadScanner } from '../../src/gateway/arriving/head-scanner';

/** Returns the heads that a scanner finds in a text that arrives in reads of some bytes each. */
const headsOf = (text: string, readBytes: number): readonly string[] => {
  const scanner = new HeadScanner();
  const heads: string[] = [];
  let head = '';
  for (let at = 0; at < text.length; at += readBytes) {
    let read = text.slice(at, at + readBytes);
    while (read !== '') {
      const size = scanner.scan(Buffer.from(read, 'latin1'));
      head += read.slice(0, size);
      read = size === undefined ? '' : read.slice(size);
      if (size === undefined) continue;
      scanner.restart();
      heads.push(head);
      head = '';
    }
  }
  return [...heads, ...(head === '' ? [] : [head])];
};

describe('HeadScanner', () => {
  const GET = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';
  const CASES: Readonly<Record<string, readonly string[]>> = {
    'one head after the other': [GET, GET, GET],
    'heads with bare line feeds': ['GET / HTTP/1.1\nHost: h\n\n', GET],
    'line ends before a head': [`\r\n\r\n\n${GET}`, `\r\n${GET}`],
    'a head that goes on': [GET, 'GET / HTTP/1.1\r\nHost: h\r\n'],
    'line ends alone': ['\r\n\r\n\r\n\n\n'],
    'a carriage return within a line': ['GET / HTTP/1.1\r\nA: \r\rb\r\n\r\n', GET],
  };
  Object.entries(CASES).forEach(([name, heads]) => {
    it(`ends each read of ${name} with a head, however the bytes arrive`, () => {
      const text = heads.join('');
      for (let bytes = 1; bytes <= text.length; bytes++)
        expect(headsOf(text, bytes)).toEqual([...heads]);
    });
  });
});
