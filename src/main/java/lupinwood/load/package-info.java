/**
 * Configurations from files: reading them, looking whether they changed, and the thread that
 * reloads.
 */
package lupinwood.load;
