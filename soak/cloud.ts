/** Stand-in of the service that lists, moves and maintains hosts. */
import * as v from "valibot";
import { migrateMs, upkeepMs } from "./bounds.ts";
import { Endpoint, type EndpointDependencies } from "./endpoint.ts";
import { type Call, JsonServer, type Reply } from "./json_server.ts";
import { pause } from "./pause.ts";
import type { Capacity } from "./play_record.ts";

/** The part that all orders about a host have. */
const orderSchema = v.object({ machine: v.string() });

const moveSchema = v.object({ machine: v.string(), pool: v.string() });

const upkeepSchema = v.object({
  machine: v.string(),
  wave: v.union([v.number(), v.string()]),
});

/** A host, and the endpoint that runs on it now. */
interface Host {
  readonly name: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
  pool: string;
  state: "up" | "moving" | "upkeep";
  endpoint: Endpoint | undefined;
  /** Waves that the host has had. */
  readonly waves: Set<string>;
}

/** What is known of a host before its endpoint starts. */
export interface HostPlan {
  readonly name: string;
  readonly pool: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: Capacity;
}

/** Answer to an order for a host that isn't up. */
const busy: Reply = { status: 409, body: { reason: "busy" } };

/** The hosts of a play, and the service that speaks for them. */
export class CloudStandIn {
  readonly #server = new JsonServer((call) => this.#serve(call));
  readonly #hosts = new Map<string, Host>();
  #lastEndpoint = 0;
  #isOver = false;

  constructor(private readonly deps: EndpointDependencies) {}

  /** Listens on a free loopback port; returns the address. */
  listen(): Promise<string> {
    return this.#server.listen();
  }

  /** Starts the endpoints of hosts. */
  async start(plans: readonly HostPlan[]): Promise<void> {
    for (const plan of plans) {
      const host: Host = {
        ...plan,
        state: "up",
        endpoint: undefined,
        waves: new Set(),
      };
      this.#hosts.set(plan.name, host);
      await this.#startEndpoint(host);
    }
  }

  /** The endpoints of a pool in one availability zone. */
  endpointsIn(pool: string, zone: string): readonly Endpoint[] {
    return [...this.#hosts.values()]
      .filter((host) => host.pool === pool && host.zone === zone)
      .map(({ endpoint }) => endpoint)
      .filter((endpoint) => endpoint !== undefined);
  }

  /** Ends all endpoints and the service. */
  close(): void {
    this.#isOver = true;
    for (const { endpoint } of this.#hosts.values()) endpoint?.leave();
    this.#server.close();
  }

  #serve(call: Call): Promise<Reply> {
    return Promise.resolve(this.#reply(call));
  }

  #reply(call: Call): Reply {
    switch (`${call.method} ${call.path}`) {
      case "GET /-/machines":
        return { status: 200, body: { machines: this.#list() } };
      case "POST /-/machine-move":
        this.#noteOrder(call);
        return this.#move(call.body);
      case "POST /-/machine-upkeep":
        this.#noteOrder(call);
        return this.#maintain(call.body);
      default:
        return { status: 404 };
    }
  }

  /** Notes who orders what about a host; an order without a host is not noted. */
  #noteOrder({ headers, body }: Call): void {
    const { clock, record } = this.deps;
    const parsed = v.safeParse(orderSchema, body);
    if (!parsed.success) return;
    record.hostOrders.push({
      host: parsed.output.machine,
      holder: String(headers["lease-holder"] ?? ""),
      fence: Number(headers["fencing-token"]),
      at: clock.now,
    });
  }

  /** Names of all hosts. */
  get hostNames(): readonly string[] {
    return [...this.#hosts.keys()];
  }

  #list(): readonly object[] {
    return [...this.#hosts.values()].map((host) => ({
      machine: host.name,
      pool: host.pool,
      state: host.state,
      zone: host.zone,
      labels: host.labels,
      capacity: { ...host.capacity, gpu: 0 },
      id: host.endpoint?.identity.id ?? "",
    }));
  }

  #move(body: unknown): Reply {
    const parsed = v.safeParse(moveSchema, body);
    const host = parsed.success && this.#hosts.get(parsed.output.machine);
    if (!host) return { status: 400 };
    const { pool } = parsed.output;
    if (host.pool === pool) return { status: 200 };
    if (host.state !== "up") return busy;
    host.pool = pool;
    this.#replaceEndpoint(host, "moving", migrateMs);
    return { status: 200 };
  }

  #maintain(body: unknown): Reply {
    const parsed = v.safeParse(upkeepSchema, body);
    const host = parsed.success && this.#hosts.get(parsed.output.machine);
    if (!host) return { status: 400 };
    const wave = String(parsed.output.wave);
    if (host.waves.has(wave)) return { status: 200 };
    if (host.state !== "up") return busy;
    host.waves.add(wave);
    this.#replaceEndpoint(host, "upkeep", upkeepMs);
    return { status: 200 };
  }

  /** Ends a host's endpoint, and starts another one after `ms`. */
  async #replaceEndpoint(
    host: Host,
    state: Host["state"],
    ms: number,
  ): Promise<void> {
    host.state = state;
    host.endpoint?.leave();
    host.endpoint = undefined;
    await pause(ms);
    if (this.#isOver) return;
    await this.#startEndpoint(host);
    host.state = "up";
  }

  async #startEndpoint(host: Host): Promise<void> {
    this.#lastEndpoint++;
    const id = `i-${this.#lastEndpoint.toString(16).padStart(8, "0")}`;
    const { name, pool, zone, labels, capacity } = host;
    const identity = { id, pool, zone, machine: name, labels, capacity };
    const endpoint = new Endpoint(identity, this.deps);
    await endpoint.start();
    host.endpoint = endpoint;
  }
}
