/**
 * The configuration language: KDL 2 with quantities, includes and named values. Texts come in
 * through {@link lupinwood.config.Sources}; nothing here does I/O. What a text means is a {@link
 * lupinwood.settings.ParsedSettings}, as with every other form of a configuration.
 */
package lupinwood.config;
