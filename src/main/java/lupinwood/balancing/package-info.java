/**
 * Load balancing across back-end servers: server selection, in-flight limits, ejection and
 * readmission of outliers, and the retry budget. Time and the random seed come from the caller; no
 * I/O.
 */
package lupinwood.balancing;
