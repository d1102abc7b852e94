/**
 * The baseline of the relay benchmark: `http` in, `undici` out, nothing else.
 * Arguments: the endpoint's URL. Prints its address as its first line.
 */
import { createServer } from "node:http";
import process from "node:process";
import { Pool } from "undici";
import { listen, readBody } from "../fakes/json_http.ts";

const connections = 64;
const pool = new Pool(process.argv[2], { connections, pipelining: 1 });

const server = createServer(async (req, res) => {
  try {
    const body = await readBody(req);
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
