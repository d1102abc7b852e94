/** TCP relays between two entries, which tests cut or silence. */
import { connect, createServer, type Socket } from "node:net";
import { listen } from "./json_http.ts";

/** `silent` keeps connections open and drops their bytes. */
export type TcpProxyMode = "pass" | "refuse" | "silent";

/** A running relay. */
export interface TcpProxy {
  readonly address: string;
  readonly from: string;
  readonly to: string;
  setMode(mode: TcpProxyMode): void;
  close(): void;
}

/** Starts a relay to an address; `from` and `to` name its two entries. */
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
