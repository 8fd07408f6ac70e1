interface ToolCallDelta {
    readonly index: number;
    readonly id?: string;
    readonly type?: string;
    readonly function?: { readonly name?: string; readonly arguments?: string };
}

interface ChunkChoice {
    readonly index: number;
    readonly delta?: {
        readonly role?: string;
        readonly content?: string;
        readonly tool_calls?: readonly ToolCallDelta[];
    };
    readonly finish_reason?: string;
}

interface Chunk {
    readonly id?: string;
    readonly created?: number;
    readonly model?: string;
    readonly choices?: readonly ChunkChoice[];
    readonly usage?: unknown;
}

interface ToolCall {
    id: string;
    type: string;
    function: { name: string; arguments: string };
}

interface Choice {
    role: string;
    content: string;
    finishReason: string | undefined;
    readonly toolCalls: ToolCall[];
}

/** Puts the events of a streamed chat completion together to the plain answer (OpenAI chat completion object). */
export class ChatAssembler {
    private id = "";
    private created = 0;
    private model = "";
    private usage: unknown;
    private readonly choices = new Map<number, Choice>();

    /** Takes one event's JSON text. */
    public add(data: string): void {
        const chunk = JSON.parse(data) as Chunk;
        this.id = chunk.id ?? this.id;
        this.created = chunk.created ?? this.created;
        this.model = chunk.model ?? this.model;
        this.usage = chunk.usage ?? this.usage;
        for (const choice of chunk.choices ?? []) {
            this.addChoice(choice);
        }
    }

    /** The whole object. */
    public build(): unknown {
        const choices = [...this.choices].sort(([a], [b]) => a - b);
        return {
            id: this.id,
            object: "chat.completion",
            created: this.created,
            model: this.model,
            choices: choices.map(([index, choice]) => ({
                index,
                message: {
                    role: choice.role,
                    content: choice.content,
                    tool_calls: choice.toolCalls.length > 0 ? choice.toolCalls : undefined,
                },
                finish_reason: choice.finishReason,
            })),
            usage: this.usage,
        };
    }

    private addChoice(part: ChunkChoice): void {
        const choice = this.choices.get(part.index) ?? {
            role: "assistant",
            content: "",
            finishReason: undefined,
            toolCalls: [],
        };
        this.choices.set(part.index, choice);
        choice.role = part.delta?.role ?? choice.role;
        choice.content += part.delta?.content ?? "";
        choice.finishReason = part.finish_reason ?? choice.finishReason;
        for (const call of part.delta?.tool_calls ?? []) {
            addToolCall(choice.toolCalls, call);
        }
    }
}

function addToolCall(calls: ToolCall[], delta: ToolCallDelta): void {
    const call = (calls[delta.index] ??= { id: "", type: "function", function: { name: "", arguments: "" } });
    call.id = delta.id ?? call.id;
    call.type = delta.type ?? call.type;
    call.function.name += delta.function?.name ?? "";
    call.function.arguments += delta.function?.arguments ?? "";
}
