/** Assembles the choices of a non-streaming response from streamed deltas. */

interface ToolCallDelta {
  readonly index?: number;
  readonly id?: string;
  readonly type?: string;
  readonly function?: {readonly name?: string; readonly arguments?: string};
}

interface ChoiceDelta {
  readonly index?: number;
  readonly delta?: {
    readonly role?: string;
    readonly content?: string | null;
    readonly tool_calls?: readonly ToolCallDelta[];
  };
  readonly finish_reason?: string | null;
}

interface ToolCall {
  id: string;
  type: string;
  function: {name: string; arguments: string};
}

interface Choice {
  readonly index: number;
  readonly message: {role: string; content: string; tool_calls?: ToolCall[]};
  finish_reason: string | null;
}

/** @internal */
export class CompletionAssembler {
  private readonly choicesByIndex = new Map<number, Choice>();

  /** Applies one event, a JSON array of choice deltas. */
  add(event: string): void {
    for (const delta of JSON.parse(event) as ChoiceDelta[]) this.addChoice(delta);
  }

  choices(): Choice[] {
    return [...this.choicesByIndex.values()].sort((a, b) => a.index - b.index);
  }

  private addChoice(delta: ChoiceDelta): void {
    const index = delta.index ?? 0;
    let choice = this.choicesByIndex.get(index);
    if (choice === undefined) {
      choice = {index, message: {role: 'assistant', content: ''}, finish_reason: null};
      this.choicesByIndex.set(index, choice);
    }
    choice.message.role = delta.delta?.role ?? choice.message.role;
    choice.message.content += delta.delta?.content ?? '';
    choice.finish_reason = delta.finish_reason ?? choice.finish_reason;
    for (const call of delta.delta?.tool_calls ?? []) addToolCall(choice, call);
  }
}

function addToolCall(choice: Choice, delta: ToolCallDelta): void {
  const calls = (choice.message.tool_calls ??= []);
  const call = (calls[delta.index ?? 0] ??= {
    id: '',
    type: 'function',
    function: {name: '', arguments: ''},
  });
  call.id = delta.id ?? call.id;
  call.type = delta.type ?? call.type;
  call.function.name += delta.function?.name ?? '';
  call.function.arguments += delta.function?.arguments ?? '';
}
