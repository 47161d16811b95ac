export {LoadRateLimiter} from './lib/load_rate_limiter.ts';
