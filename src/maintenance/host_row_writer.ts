/** Commits of host rows by the controller, and the view they are based on. */
import { auditWrite } from "../audit/index.ts";
import type { Host, HostMap } from "../hosts/index.ts";
import type {
  Check,
  ListedHost,
  Row,
  Stored,
  Write,
} from "../platform/index.ts";
import type { ControllerParts } from "./controller.ts";
import type { Wave } from "./wave.ts";

/** Everything that one round decides on. */
export interface FleetSnapshot {
  readonly hosts: readonly Stored<Host>[];
  readonly byName: HostMap;
  readonly registrations: readonly Row[];
  readonly waves: readonly Stored<Wave>[];
  readonly listed: ReadonlyMap<string, ListedHost>;
  readonly term: Check;
}

/** Commits host rows under the controller's term. */
export class HostRowWriter {
  constructor(private readonly parts: ControllerParts) {}

  /** Commits a host's row; returns the version, or undefined on a race. */
  async commitHost(
    fleet: FleetSnapshot,
    from: {
      readonly key: string;
      readonly version: number;
      readonly value?: Host;
    },
    to: Host,
    action: string,
    checks: readonly Check[],
    writes: readonly Write[] = [],
  ): Promise<number | undefined> {
    const operation = this.parts.ids.next();
    const subject = `host ${to.name}`;
    const outcome = await this.parts.platform.table.commit({
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
    this.parts.onHostRows([to]);
    return outcome.val.version;
  }

  /** The audit record of a change by the controller. */
  buildAuditRecord(
    action: string,
    subject: string,
    before: unknown,
    after: unknown,
    operation: string,
  ): Write {
    const at = this.parts.clock.wall();
    const who = this.parts.entryName;
    return auditWrite({ at, who, action, subject, before, after, operation });
  }
}
