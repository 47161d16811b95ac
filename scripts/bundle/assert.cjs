/**
 * Replaces `node:assert` in bundles, as far as their libraries use it. The original composes the
 * message of a failed assertion from the source, which takes tens of seconds on a line as long as
 * those of a bundle.
 */
const {AssertionError} = require('node:assert');

module.exports = function assert(value, message) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new AssertionError({
    message: message ?? 'assertion failed',
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: assert,
  });
};
