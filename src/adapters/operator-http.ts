/** Serves the operators' HTTP interface: metrics, status, inventory and drain. */
import { createServer, type Server } from 'node:http';

import type { TelemetryRegistry } from './telemetry';

/** The part of a node that operators query and control. */
export interface OperatorService {
  /** Returns the node's status, an object that can be written as JSON. */
  status(): unknown;
  /** Returns the inventory in force, a value that can be written as JSON. */
  inventory(): unknown;
  /** Starts a planned stop of the node. */
  drain(): void;
}

/** Creates the server for operators and Prometheus. */
export const createOperatorServer = (
  service: OperatorService,
  telemetry: TelemetryRegistry,
): Server =>
  createServer((req, res) => {
    const json = (value: unknown): void => {
      res.writeHead(200, { 'content-type': 'application/json' });
      res.end(`${JSON.stringify(value)}\n`);
    };
    switch (`${req.method} ${req.url}`) {
      case 'GET /metrics':
        void telemetry.metrics().then((text) => {
          res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
          res.end(text);
        });
        return;
      case 'GET /status':
        void telemetry
          .counters()
          .then((counters) => json({ ...(service.status() as object), counters }));
        return;
      case 'GET /inventory':
        json(service.inventory());
        return;
      case 'POST /drain':
        service.drain();
        json({ draining: true });
        return;
      default:
        res.writeHead(404).end();
    }
  });
