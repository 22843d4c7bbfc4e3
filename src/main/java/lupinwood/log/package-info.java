/** The project's own small logger, for itself and for the libraries that speak slf4j. */
package lupinwood.log;
