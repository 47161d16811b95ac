/**
 * The parts of undici that the programs use: the whole library takes 15 MB more at the start of a
 * process. A name that a program imports must be exported here, too.
 */
const Agent = require('undici/lib/dispatcher/agent');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Pool = require('undici/lib/dispatcher/pool');
const api = require('undici/lib/api');
const buildConnector = require('undici/lib/core/connect');
const errors = require('undici/lib/core/errors');
const util = require('undici/lib/core/util');
const DecoratorHandler = require('undici/lib/handler/decorator-handler');
const {getGlobalDispatcher} = require('undici/lib/global');

Object.assign(Dispatcher.prototype, api);

/** Same as `request` of the library for a URL and options. */
function request(url, opts = {}) {
  const {origin, pathname, search} = util.parseURL(url);
  return api.request.call(opts.dispatcher ?? getGlobalDispatcher(), {
    ...opts,
    origin,
    path: pathname + search,
    method: opts.method ?? (opts.body ? 'PUT' : 'GET'),
  });
}

module.exports = {Agent, Dispatcher, Pool, DecoratorHandler, buildConnector, errors, request};
