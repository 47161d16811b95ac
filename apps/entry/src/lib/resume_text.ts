/** Text already delivered to a caller, from which an engine resumes the generation. */

interface TextDelta {
  readonly delta?: {readonly content?: string | null};
}

/**
 * Joins the text of the events relayed to a caller.
 *
 * @param events - JSON of the `choices` array of each event.
 * @example
 * textOfEvents(['[{"delta":{"content":"Hi"}}]']); // 'Hi'
 * @internal
 */
export function textOfEvents(events: readonly string[]): string {
  let text = '';
  for (const event of events) {
    for (const choice of JSON.parse(event) as TextDelta[]) text += choice.delta?.content ?? '';
  }
  return text;
}
