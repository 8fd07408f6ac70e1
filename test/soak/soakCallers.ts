import { Agent, request as sendHttp } from "node:http";
import type { SeededRandom } from "../../src/base/random.js";
import type { CallerAttempt, CallKind } from "./records.js";
import { host, lastingKeys, timeoutMs, type SoakOperator } from "./soakOperator.js";
import type { SoakRouter, SoakRouters } from "./soakRouters.js";
import { fatalBody, fatalPart } from "./soakTargets.js";

const kinds: readonly CallKind[] = ["resumable", "once", "book", "find", "version"];
const longestRestMs = 90;
/** Part of the requests whose caller leaves early, and by when. */
const leaveShare = 0.04;
/** Of the streams that may be resumed more leave, as they are resumed afterwards. */
const leaveResumableShare = 0.2;
const longestStayMs = 150;
const passingKeyShare = 0.15;
/** Part of the requests that use what was taken away, where something was: they must not run. */
const formerShare = 0.1;
/** A caller waits a little longer than the route allows, so that the router's own final answer is seen. */
const patienceMs = 1_500;
const resumedShare = 0.8;
const mostResumptions = 2;
const sharedPartCount = 6;
const sharedTokens = 900;
const ownTokens = 200;
/** Headers that a hostile caller sets although they are the router's. */
const forgedHeaders = { "X-Lynxarch-Tenant": "other", "X-Lynxarch-Kv-Hold": "h1", "X-Lynxarch-Pin-Ms": "1000" };

/** Callers that keep their connections for as long as these live. */
export class SoakCallers {
    private readonly attempts: CallerAttempt[] = [];
    private readonly loops: Promise<void>[] = [];
    private isStopping = false;
    private count = 0;

    public constructor(
        private readonly routers: SoakRouters,
        private readonly operator: SoakOperator,
        private readonly random: SeededRandom,
    ) {}

    public get all(): readonly CallerAttempt[] {
        return this.attempts;
    }

    public start(callers: number): void {
        for (let index = 0; index < callers; index++) {
            this.loops.push(this.runCaller());
        }
    }

    public async stop(): Promise<void> {
        this.isStopping = true;
        await Promise.all(this.loops);
    }

    private async runCaller(): Promise<void> {
        let connection = this.openConnection();
        while (!this.isStopping) {
            const attempt = this.createAttempt(connection);
            const keeps = await this.sendOne(connection, attempt);
            await this.resume(attempt);
            if (!keeps) {
                connection.agent.destroy();
                connection = this.openConnection();
            }
            await new Promise(resolve => setTimeout(resolve, this.random.next() * longestRestMs));
        }
        connection.agent.destroy();
    }

    /** Sends the request that ends each target that runs it, with an id of its own and over a connection of its own. */
    public async sendFatal(): Promise<void> {
        const connection = this.openConnection();
        const usual = this.createAttempt(connection);
        const attempt: CallerAttempt = {
            ...usual,
            kind: "once",
            path: "/once/fatal",
            body: fatalBody,
            key: Object.keys(lastingKeys)[0],
        };
        this.attempts.splice(this.attempts.indexOf(usual), 1, attempt);
        await this.sendOne(connection, attempt);
        connection.agent.destroy();
    }

    /** Sends a request whose prompt has the part that ends targets; no two of them are alike. */
    public async sendFatalPart(): Promise<void> {
        const connection = this.openConnection();
        const usual = this.createAttempt(connection, "once");
        const attempt: CallerAttempt = { ...usual, key: Object.keys(lastingKeys)[0], hasFatalPart: true };
        this.attempts.splice(this.attempts.indexOf(usual), 1, attempt);
        await this.sendOne(connection, attempt);
        connection.agent.destroy();
    }

    /** Resumes a stream that broke off, or that its caller left, at any router; until it is whole or was resumed often enough. */
    private async resume(first: CallerAttempt): Promise<void> {
        let last = first;
        for (let count = 0; count < mostResumptions && this.isToResume(last); count++) {
            const connection = this.openConnection();
            const attempt: CallerAttempt = {
                ...this.createAttempt(connection, first.kind),
                path: first.path,
                body: first.body,
                key: first.key,
                resumes: first.id,
                resumedAfter: (last.resumedAfter ?? 0) + countPieces(last),
            };
            this.attempts.splice(-1, 1, attempt);
            await this.sendOne(connection, attempt);
            connection.agent.destroy();
            last = attempt;
        }
    }

    private isToResume(attempt: CallerAttempt): boolean {
        const { kind, status, isWhole } = attempt;
        const isOpen = kind === "resumable" && status === 200 && isWhole !== true && countPieces(attempt) > 0;
        return isOpen && !this.isStopping && this.random.next() < resumedShare;
    }

    private openConnection(): CallerConnection {
        const { inRotation } = this.routers;
        const router = inRotation[Math.floor(this.random.next() * inRotation.length)];
        return { router, agent: new Agent({ keepAlive: true, maxSockets: 1 }), uses: 0 };
    }

    /** Sends a request and notes its end; false when the connection is over. */
    private sendOne(connection: CallerConnection, attempt = this.createAttempt(connection)): Promise<boolean> {
        const { router, agent } = connection;
        connection.uses += 1;
        const isStream = attempt.kind === "resumable" || attempt.kind === "once";
        const limitMs = isStream ? timeoutMs.stream : timeoutMs.plain;
        return new Promise(resolve => {
            const isRead = attempt.kind === "find" || attempt.kind === "version";
            const request = sendHttp({
                host: "127.0.0.1",
                port: router.callersPort,
                agent,
                method: isRead ? "GET" : "POST",
                path: attempt.path,
                headers: {
                    Host: host,
                    "X-Lynxarch-Attempt-Id": attempt.id,
                    "X-Lynxarch-Deadline-Ms": String(limitMs),
                    Authorization: `Bearer ${attempt.key}`,
                    ...forgedHeaders,
                    ...(isStream ? this.createPromptHeaders(attempt.resumes ?? attempt.id, attempt.hasFatalPart) : {}),
                    ...createResumptionHeaders(attempt),
                },
            });
            const end = (keeps: boolean): void => {
                clearTimeout(timer);
                attempt.endedAtMs ??= performance.now();
                resolve(keeps && attempt.leftAtMs === undefined);
            };
            const share = attempt.kind === "resumable" ? leaveResumableShare : leaveShare;
            const leaves = this.random.next() < share;
            const stayMs = leaves ? this.random.next() * longestStayMs : limitMs + patienceMs;
            const timer = setTimeout(() => {
                attempt.leftAtMs = performance.now();
                request.destroy(new Error("left"));
            }, stayMs);
            request.on("response", response => {
                attempt.status = response.statusCode;
                attempt.stamp = response.headers["x-lynxarch-engine-stamp"]?.toString();
                attempt.retryAfter = response.headers["retry-after"];
                const chunks: Buffer[] = [];
                response.on("data", (chunk: Buffer) => chunks.push(chunk));
                response.on("error", () => undefined);
                response.on("close", () => {
                    attempt.answer = Buffer.concat(chunks).toString();
                    attempt.isWhole = response.complete;
                    end(response.complete && response.headers.connection !== "close");
                });
            });
            request.on("error", () => end(false));
            request.end(isRead ? undefined : attempt.body);
        });
    }

    private createAttempt({ router, uses }: CallerConnection, usualKind?: CallKind): CallerAttempt {
        const id = `a${++this.count}`;
        const { versionPaths } = this.operator;
        const choice = usualKind ?? kinds[Math.floor(this.random.next() * kinds.length)];
        const kind = choice === "version" && versionPaths.length === 0 ? "find" : choice;
        const isFormer = this.random.next() < formerShare;
        const newPath = versionPaths[Math.floor(this.random.next() * versionPaths.length)];
        const prefix: Readonly<Record<CallKind, string>> = {
            resumable: "/plan/",
            once: "/once/",
            book: "/book/",
            find: "/find/",
            version: (isFormer ? this.operator.droppedPath : undefined) ?? newPath,
        };
        const attempt: CallerAttempt = {
            id,
            kind,
            path: `${prefix[kind]}${id}?q=${id}`,
            body: kind === "find" || kind === "version" ? "" : `body of ${id}`,
            key: this.chooseKey(isFormer),
            router: router.name,
            routerStart: router.starts,
            sentAtMs: performance.now(),
            isReused: uses > 0,
        };
        this.attempts.push(attempt);
        return attempt;
    }

    private chooseKey(isFormer: boolean): string {
        const { passingKey, revokedKey } = this.operator;
        const keys = Object.keys(lastingKeys);
        const lasting = keys[Math.floor(this.random.next() * keys.length)];
        const isPassing = this.random.next() < passingKeyShare;
        return (isFormer ? revokedKey : undefined) ?? (isPassing ? passingKey : undefined) ?? lasting;
    }

    private createPromptHeaders(id: string, hasFatalPart = false): Record<string, string> {
        const shared = Math.floor(this.random.next() * sharedPartCount);
        return {
            "X-Lynxarch-Model": "m",
            "X-Lynxarch-Token-Count": `${sharedTokens + ownTokens},80`,
            "X-Lynxarch-Prefix-Hash": `aa0${shared}:${sharedTokens},${hasFatalPart ? `${fatalPart}:1,` : ""}bb${id.slice(1)}:${ownTokens}`,
        };
    }
}

function createResumptionHeaders({ resumes, resumedAfter }: CallerAttempt): Record<string, string> {
    return resumes === undefined ? {} : { "Last-Event-Id": String(resumedAfter), Resumes: resumes };
}

/** Number of whole pieces in an answer. */
function countPieces({ answer = "" }: CallerAttempt): number {
    return answer.split("\n\n").length - 1;
}

interface CallerConnection {
    readonly router: SoakRouter;
    readonly agent: Agent;
    uses: number;
}
