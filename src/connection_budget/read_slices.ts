/**
 * Passes what arrives on a socket to its HTTP server in slices.
 *
 * A server of Node.js creates a request and a response for each request in a
 * read of up to 64 KiB, also after a handler has destroyed the socket, and frees
 * none before the sockets are closed. With slices, it gets no more of a
 * connection that a handler has closed or paused.
 */
import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** Size of a slice, in bytes. */
const sliceBytes = 512;

/**
 * Calls the server's listeners for a socket's data with slices of it, and
 * `onSlice` before each of them, which may destroy the socket.
 */
export function readInSlices(
  socket: Socket,
  onSlice: (slice: Buffer) => void,
): void {
  const listeners = socket.listeners("data");
  socket.removeAllListeners("data");
  socket.on("data", (data: Buffer) => {
    for (let start = 0; start < data.length; start += sliceBytes) {
      if (socket.destroyed) return;
      if (socket.isPaused()) {
        socket.unshift(data.subarray(start));
        return;
      }
      const slice = data.subarray(start, start + sliceBytes);
      onSlice(slice);
      if (socket.destroyed) return;
      for (const listener of listeners) listener.call(socket, slice);
    }
  });
}
