/** Figures of the played site, as its pages state them. */

/** Longest lease that an endpoint grants, in ms of its own clock. */
export const maxHoldMs = 10_000;

/** Longest time from a stop order to the end of the run, in ms. */
export const stopTimeoutMs = 200;

/** Share by which the clock of an endpoint is slow at most. */
export const maxClockDrift = 0.02;

/** Interval between two heartbeats of an endpoint at the store, in ms. */
export const heartbeatMs = 1_500;

/** Heartbeats without which the store removes an endpoint's row. */
export const missedHeartbeats = 3;

/** Largest share of the store's parts that are down at once. */
export const maxDownShare = 0.3;

/** Longest time for which parts of the store are down, in ms. */
export const maxOutageMs = 6_500;

/** Time without disturbance after which a process is in touch, in ms. */
export const contactMs = 3_000;

/** Time after its ack from which a job has to be known everywhere, in ms. */
export const visibleMs = 3_000;

/** Time from the end of the traffic until jobs are asked for, in ms. */
export const finishMs = 14_000;

/** Time for which a job may have nothing running, in ms. */
export const idleMs = 3_000;

/** Calm before the idle time that a task that lasts is judged by, in ms. */
export const calmBeforeMs = 4_000;

/** Time after its last run from which a task that lasts is judged, in ms. */
export const lastingGraceMs = 6_000;

/** Time for which a caller waits for an answer, in ms. */
export const deadlineMs = 3_000;

/** Most attempts of a caller at one request. */
export const maxCallAttempts = 5;

/** Runs of a task that may end as failed before its job has failed. */
export const maxAttempts = 4;

/** Time that a host takes to move to another pool, in ms. */
export const migrateMs = 1_500;

/** Time that the upkeep of a host takes, in ms. */
export const upkeepMs = 2_000;

/** Time that the store takes for an answer, in ms. */
export const storeAnswerMs = 4;

/** Time that a transaction takes within its part, in ms. */
export const transactionMs = 5;

/** Writing calls that the store takes a second, of all entries together. */
export const writesPerSecond = 600;

/** Reading calls that the store takes a second, of all entries together. */
export const readsPerSecond = 2_000;

/** Transactions that may wait for one part of the store. */
export const maxWaitingTransactions = 200;

/** Time for which the store keeps its history, in ms. */
export const historyMs = 20_000;

/** Cores of an entry's host. */
export const entryCores = 1;

/** Share of its core that an entry may use. */
export const entryCoreShare = 0.675;
