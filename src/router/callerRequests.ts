import type { IncomingMessage, ServerResponse } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock.js";
import type { Logger } from "../base/log.js";
import type { BodyBudget } from "../decisions/limits/bodyBudget.js";
import type { AcceptedDocument, EnvironmentDocument, Service } from "../document/schema.js";
import type { Refusal, WorkRequest } from "../fleet/entities.js";
import { CallerAccounts, type Admitted } from "./callerAccounts.js";
import { readCallerBody } from "./callerBody.js";
import { CallerConnection } from "./callerConnection.js";
import { callerProblems } from "./callerProblems.js";
import { AssembledChatAnswer, StreamedChatAnswer } from "./chatAnswer.js";
import { parseModelRequest } from "./modelRequest.js";
import { PlainAnswer } from "./plainAnswer.js";
import { checkSafety, createPlainCall, isPlainPath, maxHeaderBytes } from "./plainCall.js";
import { toProblem, type Problem } from "./problem.js";
import type { RouterService } from "./routerService.js";

const maxKeyLength = 512;
const servicePrefix = /^\/services\/[^/?]+/;

/** One caller's request as it comes in. */
export interface CallerRequest {
    readonly id: string;
    readonly incoming: IncomingMessage;
    readonly outgoing: ServerResponse;
    readonly openAiShape: boolean;
}

/** Idempotency keys as the router sees them. */
export interface KeyDirectory {
    /** The agent that alone may run the key. */
    findHome(clientAccount: string, service: string, key: string): Result<string, Refusal>;
    /** A new key whose repeats are safe over restarts and outages. */
    issue(clientAccount: string, service: string): Result<string, Refusal>;
}

/** What the requests are built from. */
export interface CallerRequestsParts {
    readonly service: RouterService;
    readonly keys: KeyDirectory;
    readonly clock: Clock;
    readonly logger: Logger;
    /** The document in force. */
    getDocument(): AcceptedDocument | undefined;
    isStopping(): boolean;
    readonly bodyBudget: BodyBudget;
}

/** Checks callers' requests, and hands those that are well-formed and allowed to the router's service. */
export class CallerRequests {
    private readonly accounts: CallerAccounts;

    public constructor(private readonly parts: CallerRequestsParts) {
        this.accounts = new CallerAccounts(() => parts.getDocument());
    }

    public isReady(): boolean {
        return this.parts.getDocument() !== undefined && !this.parts.isStopping();
    }

    /** Models that the key's account may use. */
    public listModels(authorization: string | undefined): Result<readonly string[], Problem> {
        return this.accounts
            .find(authorization)
            .map(({ clientAccount, document }) =>
                Object.keys(document.services).filter(
                    name => document.services[name].kind === "model" && isAllowed(document, clientAccount, name),
                ),
            );
    }

    /** Takes a chat completion; the answer is written to its connection. */
    public async handleChat(request: CallerRequest): Promise<void> {
        await this.handle(request, (admitted, body, connection) =>
            parseModelRequest(body)
                .mapErr(callerProblems.createBadRequest)
                .andThen(model =>
                    findService(admitted, model.model, "model")
                        .mapErr(() => callerProblems.createUnknownModel(model.model))
                        .map(service => ({ model, service })),
                )
                .map(({ model, service }) => {
                    const work = this.createWork(request.id, admitted, model.model, service, body.length);
                    const answer = model.stream
                        ? new StreamedChatAnswer(connection, model.includeUsage)
                        : new AssembledChatAnswer(connection);
                    this.submit(
                        {
                            ...work,
                            promptTokens: model.promptTokens,
                            maxTokens: model.maxTokens,
                            prefixHash: model.prefixHash,
                        },
                        { body, call: undefined, answer, homeAgentId: undefined },
                    );
                }),
        );
    }

    /** Takes a plain service's call. */
    public async handlePlain(request: CallerRequest, name: string): Promise<void> {
        const path = (request.incoming.url ?? "").replace(servicePrefix, "") || "/";
        await this.handle(request, (admitted, body, connection) =>
            findService(admitted, name, "plain").andThen(service => {
                const method = request.incoming.method ?? "GET";
                if (!isPlainPath(path)) {
                    return err(callerProblems.createBadRequest("path: must be in its shortest form"));
                }
                const call = createPlainCall(method, path, request.incoming.headers, admitted.clientAccount);
                if (call === undefined) {
                    return err(callerProblems.createHeadersTooLarge(maxHeaderBytes));
                }
                const safety = checkSafety(service, method, path);
                const key = safety === "idempotent" ? undefined : getIdempotencyKey(request.incoming);
                return this.findHome(admitted.clientAccount, name, key, safety === "key-required").map(homeAgentId => {
                    const work = this.createWork(request.id, admitted, name, service, body.length);
                    this.submit(
                        { ...work, idempotent: safety === "idempotent", idempotencyKey: key },
                        {
                            body,
                            call,
                            answer: new PlainAnswer(connection),
                            homeAgentId,
                            delegateKey: this.createDelegateKey(admitted.clientAccount, name, key),
                        },
                    );
                });
            }),
        );
    }

    /** Answers with a new idempotency key for a plain service. */
    public async handleKeyIssue(request: CallerRequest, name: string): Promise<void> {
        await this.handle(request, (admitted, ...[, connection]) =>
            findService(admitted, name, "plain")
                .andThen(() => this.parts.keys.issue(admitted.clientAccount, name).mapErr(toProblem))
                .map(key => {
                    connection.writeHead(201, { "content-type": "application/json" });
                    connection.end(JSON.stringify({ idempotencyKey: key }));
                }),
        );
    }

    private async handle(
        request: CallerRequest,
        run: (admitted: Admitted, body: Buffer, connection: CallerConnection) => Result<void, Problem>,
    ): Promise<void> {
        const connection = new CallerConnection(request.outgoing, request.id, request.openAiShape, () =>
            this.parts.service.cancel(request.id),
        );
        const admitted = this.accounts.find(request.incoming.headers.authorization);
        if (admitted.isErr()) {
            request.incoming.resume();
            connection.writeProblem(toTruth(admitted.error, request.incoming));
            return;
        }
        const { clientAccount, document } = admitted.value;
        const opened = this.accounts.open(admitted.value, request.outgoing);
        const body = opened.isErr()
            ? err(opened.error)
            : await readCallerBody(request.incoming, request.outgoing, {
                  maxBytes: document.limits.maxBodyBytes,
                  budget: this.parts.bodyBudget,
              });
        const result = body.andThen(bytes => run(admitted.value, bytes, connection));
        if (result.isErr()) {
            request.incoming.resume();
            connection.writeProblem(toTruth(result.error, request.incoming));
        }
        this.parts.logger.write("debug", "request taken", {
            requestId: request.id,
            clientAccount,
            problem: result.isErr() ? result.error.code : undefined,
        });
    }

    private findHome(
        clientAccount: string,
        service: string,
        key: string | undefined,
        isRequired: boolean,
    ): Result<string | undefined, Problem> {
        if (key === undefined) {
            return isRequired ? err(toProblem(createKeyRequiredRefusal())) : ok(undefined);
        }
        if (key.length === 0 || key.length > maxKeyLength) {
            return err(callerProblems.createBadRequest(`Idempotency-Key: must have 1 to ${maxKeyLength} characters`));
        }
        return this.parts.keys.findHome(clientAccount, service, key).mapErr(toProblem);
    }

    /** Goes along with every keyed call, as the home may be taken out before it arrives. */
    private createDelegateKey(clientAccount: string, service: string, key: string | undefined): string | undefined {
        return key === undefined ? undefined : this.parts.keys.issue(clientAccount, service).unwrapOr(undefined);
    }

    private createWork(
        id: string,
        admitted: Admitted,
        serviceName: string,
        service: Service,
        bodyBytes: number,
    ): WorkRequest {
        const nowMs = this.parts.clock.nowMs();
        return {
            id,
            clientAccount: admitted.clientAccount,
            service: serviceName,
            kind: service.kind,
            idempotent: service.kind === "model",
            idempotencyKey: undefined,
            arrivedAtMs: nowMs,
            deadlineAtMs: nowMs + service.deadlineMs,
            promptTokens: 0,
            maxTokens: undefined,
            prefixHash: undefined,
            bodyBytes,
        };
    }

    private submit(work: WorkRequest, rest: Omit<Parameters<RouterService["submit"]>[0], "work">): void {
        this.parts.service.submit({ work, ...rest });
    }
}

/**
 * A request with an idempotency key may be the repeat of one that ran through another router. This router's own "not-run"
 * would be taken for the key's: the caller would do the call anew. Only the key's home says so; sending the same key
 * again is always safe.
 */
function toTruth(problem: Problem, incoming: IncomingMessage): Problem {
    return getIdempotencyKey(incoming) === undefined ? problem : { ...problem, execution: "unknown" };
}

function getIdempotencyKey(incoming: IncomingMessage): string | undefined {
    const header = incoming.headers["idempotency-key"];
    return Array.isArray(header) ? header[0] : header;
}

function isAllowed(document: EnvironmentDocument, clientAccount: string, service: string): boolean {
    return document.clientAccounts[clientAccount].services?.includes(service) ?? true;
}

function findService(admitted: Admitted, name: string, kind: Service["kind"]): Result<Service, Problem> {
    const { document, clientAccount } = admitted;
    const service = Object.hasOwn(document.services, name) ? document.services[name] : undefined;
    return service !== undefined && service.kind === kind && isAllowed(document, clientAccount, name)
        ? ok(service)
        : err(callerProblems.createUnknownService(name));
}

function createKeyRequiredRefusal(): Refusal {
    return {
        reason: "key-required",
        execution: "not-run",
        retryAfterMs: undefined,
        detail: "this call must not run twice: send an Idempotency-Key",
    };
}
