/**
 * Decides whether a caller may use a queue, and on behalf of which workspace.
 *
 * Keys come and go with versions of the catalog. An entry that has not heard
 * from the store for some time may hold an old version, in which a key is still
 * listed that the operator has taken away. So a request is decided only by a
 * catalog that was the newest a short time ago.
 */
import { Ok, type Result } from "ts-results";
import {
  type CatalogFreshness,
  type CatalogHolder,
  type Queue,
} from "../catalog/index.ts";
import { codes, fail, type Failure } from "../errors/index.ts";

/**
 * Greatest age of the catalog by which a request is decided, in ms. A poll of the
 * operator's table confirms it about once a second.
 */
const maxCatalogAgeMs = 1_500;

/** A caller that may use a queue. */
export interface CallerAccess {
  /** Name of its workspace; undefined if the queue asks for none. */
  readonly workspace: string | undefined;
}

/** Authorizes callers by the catalog in force. */
export class AccessControl {
  constructor(
    private readonly catalog: CatalogHolder,
    private readonly freshness: Pick<
      CatalogFreshness,
      "ensure" | "isConfirmed"
    >,
  ) {}

  /**
   * Whether requests can be decided by the catalog in force: it has no
   * workspaces, or has been confirmed lately.
   */
  get isReady(): boolean {
    return this.catalog.current?.workspaces === undefined ||
      this.freshness.isConfirmed(maxCatalogAgeMs);
  }

  /**
   * Resolves once {@link isReady} is true. Fails with `notReady`, which no
   * request has run with, if the store does not confirm the catalog until the
   * monotonic time `giveUpAt` (ms).
   */
  async ready(giveUpAt: number): Promise<Result<void, Failure>> {
    if (this.isReady) return Ok(undefined);
    return await this.freshness.ensure(maxCatalogAgeMs, giveUpAt)
      ? Ok(undefined)
      : fail(codes.notReady, "the catalog may be out of date");
  }

  /**
   * Authorizes a caller with a key, or without one, to use a queue. Fails with
   * `unknownKey`.
   */
  authorize(
    queue: Queue,
    key: string | undefined,
  ): Result<CallerAccess, Failure> {
    const workspaces = this.catalog.current?.workspaces;
    if (workspaces === undefined) return Ok({ workspace: undefined });
    const name = key === undefined ? undefined : workspaces.ofKey(key)?.name;
    if (name === undefined && !queue.isPublic) {
      const message = key === undefined
        ? "the request carries no key"
        : "the key belongs to no workspace";
      return fail(codes.unknownKey, message);
    }
    return Ok({ workspace: name });
  }
}
