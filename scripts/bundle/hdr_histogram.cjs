/** The part of hdr-histogram-js that the programs use, without its WebAssembly and log formats. */
const {default: Int32Histogram} = require('hdr-histogram-js/dist/Int32Histogram');

module.exports = {
  build: ({highestTrackableValue, numberOfSignificantValueDigits}) =>
    new Int32Histogram(1, highestTrackableValue, numberOfSignificantValueDigits),
};
