/** TCP relays between two entries, which tests cut or silence. */
import { connect, createServer, type Socket } from "node:net";
import { listen } from "./json_http.ts";

/** `silent` keeps connections open and drops their bytes. */
export type RelayMode = "pass" | "refuse" | "silent";

/** A running relay. */
export interface Relay {
  readonly address: string;
  readonly from: string;
  readonly to: string;
  setMode(mode: RelayMode): void;
  close(): void;
}

/** Starts a relay to an address; `from` and `to` name its two entries. */
export async function startRelay(
  from: string,
  to: string,
  target: string,
): Promise<Relay> {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  let mode: RelayMode = "pass";
  const track = (socket: Socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => socket.destroy());
  };
  const server = createServer((near) => {
    track(near);
    if (mode === "refuse") return near.destroy();
    const far = connect(Number(port), host);
    track(far);
    const forward = (source: Socket, sink: Socket) => {
      source.on("data", (bytes) => {
        if (mode === "pass") sink.write(bytes);
      });
      source.on("close", () => sink.destroy());
    };
    forward(near, far);
    forward(far, near);
  });
  const address = await listen(server);
  return {
    address,
    from,
    to,
    setMode(next) {
      mode = next;
      if (next !== "refuse") return;
      for (const socket of sockets) socket.destroy();
    },
    close() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
