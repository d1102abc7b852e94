/** Client of the operator API. */
import { Err, Ok, type Result } from "ts-results";
import { request } from "undici";
import * as v from "valibot";
import {
  codes,
  describeError,
  fail,
  type Failure,
  resultCode,
} from "../errors/index.ts";
import { failureReplySchema } from "./api_types.ts";

/** Maximum time of a call in ms. */
const timeoutMs = 90_000;

/** Address and credentials of a client. */
export interface OperatorClientOptions {
  /** Operator address of any entry, `ip:port`. */
  readonly address: string;
  /** Bearer token. */
  readonly token: string;
  /** Name of the operator for the audit trail. */
  readonly who: string;
}

/** Calls the operator API of one entry. */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  /**
   * Sends a GET request and validates the reply. Fails with the failure that
   * the entry reports, with `entryUnreachable` if the call fails, or with
   * `internal` if the reply is malformed.
   */
  async get<T extends v.GenericSchema>(
    path: string,
    schema: T,
  ): Promise<Result<v.InferOutput<T>, Failure>> {
    return await this.#call("GET", path, schema);
  }

  /** Sends a POST request with a JSON body. Fails as `get` does. */
  async post<T extends v.GenericSchema>(
    path: string,
    schema: T,
    body?: unknown,
  ): Promise<Result<v.InferOutput<T>, Failure>> {
    return await this.#call("POST", path, schema, body);
  }

  async #call<T extends v.GenericSchema>(
    method: "GET" | "POST",
    path: string,
    schema: T,
    body?: unknown,
  ): Promise<Result<v.InferOutput<T>, Failure>> {
    const { address, token, who } = this.options;
    let json: unknown;
    let status: number;
    try {
      const res = await request(`http://${address}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${token}`,
          "briartide-operator": who,
          "content-type": "application/json",
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      status = res.statusCode;
      json = await res.body.json();
    } catch (err) {
      return fail(codes.entryUnreachable, `${address}: ${describeError(err)}`);
    }
    if (status === codes.ok.http) {
      const parsed = v.safeParse(schema, json);
      if (parsed.success) return Ok(parsed.output);
      return fail(codes.internal, `${address} sent a malformed response`);
    }
    const failure = v.safeParse(failureReplySchema, json);
    if (!failure.success) {
      return fail(
        codes.internal,
        `${address} replied with HTTP status ${status}`,
      );
    }
    const { code, message, issues, conflicts } = failure.output;
    return new Err({ code: resultCode(code), message, issues, conflicts });
  }
}
