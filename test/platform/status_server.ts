/** An HTTP server that answers every request with one status. */
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

/** A running {@link startStatusServer}. */
export interface StatusServer {
  /** Host and port. */
  readonly address: string;
  /** Status of all further answers. */
  status: number;
  /** Closes the server and its connections. */
  close(): void;
}

/** Starts a server on a loopback port; it answers with an empty object. */
export async function startStatusServer(): Promise<StatusServer> {
  const http = createServer((req, res) => {
    req.resume();
    res.writeHead(server.status, { "content-type": "application/json" });
    res.end("{}");
  });
  http.listen(0, "127.0.0.1");
  await once(http, "listening");
  const { port } = http.address() as AddressInfo;
  const server: StatusServer = {
    address: `127.0.0.1:${port}`,
    status: 200,
    close() {
      http.closeAllConnections();
      http.close();
    },
  };
  return server;
}
