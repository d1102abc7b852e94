/** Commits of host rows by the controller, and the data they are based on. */
import { auditWrite } from "../audit/index.ts";
import type { Host, HostMap } from "../hosts/index.ts";
import type {
  DecodedRow,
  PlatformListedHost,
  PlatformRow,
  PlatformRowCheck,
  PlatformRowWrite,
} from "../platform/index.ts";
import type { ControllerDependencies } from "./controller.ts";
import type { Wave } from "./wave.ts";

/** The data on which one round of the controller decides. */
export interface FleetSnapshot {
  readonly hosts: readonly DecodedRow<Host>[];
  /** The rows of `hosts` by host name. */
  readonly byName: HostMap;
  readonly registrations: readonly PlatformRow[];
  readonly waves: readonly DecodedRow<Wave>[];
  /** The platform's host list by host name. */
  readonly listed: ReadonlyMap<string, PlatformListedHost>;
  /** Check that this entry still holds the lease. */
  readonly term: PlatformRowCheck;
}

/** Commits host rows under the term of the controller's lease. */
export class HostRowWriter {
  constructor(private readonly deps: ControllerDependencies) {}

  /**
   * Commits a host's row with an audit record and further writes. Returns the
   * version, or undefined when a check or the commit failed.
   */
  async commitHost(
    fleet: FleetSnapshot,
    from: {
      readonly key: string;
      readonly version: number;
      readonly value?: Host;
    },
    to: Host,
    action: string,
    checks: readonly PlatformRowCheck[],
    writes: readonly PlatformRowWrite[] = [],
  ): Promise<number | undefined> {
    const operation = this.deps.ids.next();
    const subject = `host ${to.name}`;
    const outcome = await this.deps.platform.table.commit({
      operation,
      checks: [
        { key: from.key, version: from.version },
        fleet.term,
        ...checks,
      ],
      writes: [
        { key: from.key, value: to },
        this.buildAuditRecord(
          action,
          subject,
          from.value ?? null,
          to,
          operation,
        ),
        ...writes,
      ],
    });
    if (outcome.err || outcome.val.kind !== "committed") {
      return undefined;
    }
    this.deps.onHostRows([to]);
    return outcome.val.version;
  }

  /** Builds the audit record of a change by the controller. */
  buildAuditRecord(
    action: string,
    subject: string,
    before: unknown,
    after: unknown,
    operation: string,
  ): PlatformRowWrite {
    const at = this.deps.clock.wall();
    const who = this.deps.entryName;
    return auditWrite({ at, who, action, subject, before, after, operation });
  }
}
