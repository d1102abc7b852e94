/** The caller port. */
export {
  type ReceiveLimits,
  Receiver,
  type ReceiverParts,
  type RequestEnd,
} from "./receive.ts";
export { type Classified, classify } from "./classify.ts";
export { readBody } from "./read_body.ts";
