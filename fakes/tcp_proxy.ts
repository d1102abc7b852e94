/** TCP proxies on the links between entries, which simulate network faults. */
import { connect, createServer, type Socket } from "node:net";
import { listen } from "./json_http.ts";

/**
 * `pass` forwards all bytes, `refuse` closes connections, and `silent` keeps
 * connections open but drops their bytes.
 */
export type TcpProxyMode = "pass" | "refuse" | "silent";

/** A running proxy. */
export interface TcpProxy {
  readonly address: string;
  readonly from: string;
  readonly to: string;
  /** Sets the mode of open and new connections. */
  setMode(mode: TcpProxyMode): void;
  /** Stops the proxy and closes its connections. */
  close(): void;
}

/** Starts a proxy to `target`; `from` and `to` are the ids of its entries. */
export async function startTcpProxy(
  from: string,
  to: string,
  target: string,
): Promise<TcpProxy> {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  let mode: TcpProxyMode = "pass";
  const track = (socket: Socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => socket.destroy());
  };
  const server = createServer((inbound) => {
    track(inbound);
    if (mode === "refuse") return inbound.destroy();
    const outbound = connect(Number(port), host);
    track(outbound);
    const forward = (source: Socket, sink: Socket) => {
      source.on("data", (bytes) => {
        if (mode === "pass") sink.write(bytes);
      });
      source.on("close", () => sink.destroy());
    };
    forward(inbound, outbound);
    forward(outbound, inbound);
  });
  const address = await listen(server);
  return {
    address,
    from,
    to,
    setMode(newMode) {
      mode = newMode;
      if (newMode !== "refuse") return;
      for (const socket of sockets) socket.destroy();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
