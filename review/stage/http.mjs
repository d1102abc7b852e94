/** Small HTTP helpers for the stand-ins. */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import http from "node:http";

/**
 * Starts a server on a free port of a loopback address. `handle` gets the
 * method, the URL, the decoded body and the headers, and returns
 * `{ status, body, sent }`, or undefined to reset the connection.
 */
export async function serve(ip, handle) {
  const server = http.createServer(async (req, res) => {
    try {
      const chunks = [];
      for await (const chunk of req) chunks.push(chunk);
      const text = Buffer.concat(chunks).toString("utf8");
      const url = new URL(req.url, "http://stand-in");
      const body = text === "" ? {} : JSON.parse(text);
      const reply = await handle(req.method, url, body, req.headers, text);
      if (reply === undefined) {
        req.socket.resetAndDestroy();
        return;
      }
      const answer = reply.body === undefined ? "" : JSON.stringify(reply.body);
      res.writeHead(reply.status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(answer),
      });
      // `sent` is called when the whole answer is on its way.
      res.end(answer, reply.sent);
    } catch {
      req.socket.destroy();
    }
  });
  server.keepAliveTimeout = 60_000;
  server.listen(0, ip);
  await once(server, "listening");
  return { server, address: `${ip}:${server.address().port}` };
}

const agent = new http.Agent({ keepAlive: true, maxSockets: 64 });

/** Sends one request; the status is undefined if there was no answer. */
export function request(address, { method, path, host, body, timeoutMs }) {
  const [ip, port] = address.split(":");
  const text = body === undefined ? "" : JSON.stringify(body);
  return new Promise((resolve) => {
    const req = http.request({
      agent,
      host: ip,
      port: Number(port),
      method,
      path,
      headers: {
        ...(host && { host }),
        ...(timeoutMs && { "deadline-ms": String(timeoutMs) }),
        ...(text !== "" && { "content-type": "application/json" }),
        "content-length": Buffer.byteLength(text),
      },
    }, async (res) => {
      try {
        const chunks = [];
        for await (const chunk of res) chunks.push(chunk);
        const answer = Buffer.concat(chunks).toString("utf8");
        resolve({
          status: res.statusCode,
          body: answer === "" ? undefined : JSON.parse(answer),
        });
      } catch {
        resolve({ status: undefined });
      }
    });
    req.setTimeout(timeoutMs ?? 3_000, () => req.destroy());
    req.on("error", () => resolve({ status: undefined }));
    req.end(text);
  });
}

/** Waits for a time in ms. */
export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
