/**
 * Baseline of the relay benchmark: a minimal relay that receives requests with
 * `node:http` and forwards them with `undici`.
 *
 * The argument is the endpoint's URL. The first line of output is the relay's
 * address as JSON.
 */
import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";
import { listen, readRequestBody } from "../fakes/json_http.ts";

const connections = 64;
const pool = new Pool(process.argv[2], { connections, pipelining: 1 });

const server = createServer(async (req, res) => {
  try {
    const body = await readRequestBody(req);
    const response = await pool.request({
      method: "POST",
      path: req.url ?? "/",
      body,
    });
    const bytes = new Uint8Array(await response.body.arrayBuffer());
    res.writeHead(response.statusCode, { "content-length": bytes.length });
    res.end(bytes);
  } catch {
    res.destroy();
  }
});

listen(server).then((address) => process.stdout.write(`"${address}"\n`));
