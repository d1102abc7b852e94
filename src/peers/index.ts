/** Links between entries: messages, frames, and the mesh of links. */
export {
  type AcquireMessage,
  type Heartbeat,
  type Hello,
  type Message,
  type MessageOf,
  messageSchema,
  type RunMessage,
} from "./message.ts";
export {
  decodeFrame,
  encodeFrame,
  FrameReader,
  maxFrameBytes,
} from "./frame.ts";
export { type LinkTraffic } from "./link.ts";
export {
  Mesh,
  type MeshEvents,
  type MeshOptions,
  type PeerMember,
  type PeerNetwork,
  splitAddress,
} from "./mesh.ts";
