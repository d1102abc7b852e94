/** A small HTTP server for JSON calls, on a free port of a loopback address. */
import { createServer } from "node:http";

/** Reads a request's body as JSON; an empty object without one. */
async function readJson(req) {
  const chunks = [];
  for await (const chunk of req) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString("utf8");
  return text === "" ? {} : JSON.parse(text);
}

/** Waits for a time in ms. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/**
 * Starts a server. `handle` gets the request's method, URL, body and headers and
 * returns a status and a body; undefined for no answer at all.
 */
export async function serve(handle, host = "127.0.0.1", port = 0) {
  const sockets = new Set();
  const server = createServer(async (req, res) => {
    try {
      const body = await readJson(req);
      const url = new URL(req.url, "http://stand-in");
      const answer = await handle(req.method, url, body, req.headers);
      if (answer === undefined || res.destroyed) return;
      const text = JSON.stringify(answer.body ?? {});
      res.writeHead(answer.status, { "content-type": "application/json" });
      res.end(text);
    } catch {
      res.destroy();
    }
  });
  server.keepAliveTimeout = 60_000;
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    /** Resets all connections and stops to listen. */
    close() {
      server.close();
      for (const socket of sockets) socket.resetAndDestroy();
    },
  };
}
