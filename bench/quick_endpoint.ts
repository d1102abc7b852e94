/** An endpoint that answers at once, for the relay benchmark. */
import { createServer } from "node:http";
import process from "node:process";
import { listen, sendJson } from "../fakes/json_http.ts";

const server = createServer((req, res) => {
  if (req.url === "/briartide/health") {
    return sendJson(res, 200, { ok: true, boot: "1", running: 0 });
  }
  req.resume();
  req.on("end", () => {
    const id = req.headers["briartide-request-id"];
    if (id !== undefined) res.setHeader("briartide-request-id", id);
    sendJson(res, 200, { ok: true });
  });
});

listen(server).then((address) => process.stdout.write(`"${address}"\n`));
