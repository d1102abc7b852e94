/**
 * Endpoints that answer immediately, for the relay benchmark. The argument is
 * their number; the first line of output is a JSON array of their addresses.
 */
import { createServer } from "node:http";
import process from "node:process";
import { listen, sendJson } from "../fakes/json_http.ts";

function startQuickEndpoint(): Promise<string> {
  return listen(createServer((req, res) => {
    if (req.url === "/briartide/health") {
      return sendJson(res, 200, { ok: true, boot: "1", running: 0 });
    }
    req.resume();
    req.on("end", () => {
      const id = req.headers["briartide-request-id"];
      if (id !== undefined) res.setHeader("briartide-request-id", id);
      sendJson(res, 200, { ok: true });
    });
  }));
}

Promise.all(Array.from({ length: Number(process.argv[2]) }, startQuickEndpoint))
  .then((addresses) => {
    process.stdout.write(`${JSON.stringify(addresses)}\n`);
  });
