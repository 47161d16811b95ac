export {callService, type ServiceCallInput} from './lib/service_call.ts';
