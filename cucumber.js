export default {
  import: ['features/steps/*.ts'],
  publish: false,
};
