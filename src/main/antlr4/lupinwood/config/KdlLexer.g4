// The words of the configuration language: KDL 2, with quantities such as 250ms, 30%, 192MB and 30/s written as they
// are. What can't be a word is taken in one piece as a word of a kind of its own (the last rules), so that one slip
// gives one message. docs/config-grammar.md tells how words make statements.
lexer grammar KdlLexer;

channels { REMARKS, BLANKS }

OPEN : '{' ;
CLOSE : '}' ;
PAREN_OPEN : '(' ;
PAREN_CLOSE : ')' ;
EQUALS : '=' ;
SEMICOLON : ';' ;
SLASHDASH : '/-' ;

NEWLINE : '\r\n' | BREAK ;
SPACE : BLANK+ -> channel(BLANKS) ;
MARK : '\uFEFF' -> channel(BLANKS) ;
CONTINUED : '\\' BLANK* ( '//' ~[\r\n\u0085\u000B\u000C\u2028\u2029]* )? ( '\r\n' | BREAK ) -> channel(BLANKS) ;
LINE_REMARK : '//' ~[\r\n\u0085\u000B\u000C\u2028\u2029]* -> channel(REMARKS) ;
REMARK_OPEN : '/*' -> channel(REMARKS), pushMode(REMARK) ;

MULTILINE : '"""' ( '\r\n' | BREAK ) ( '\\' . | ~[\\] )*? '"""' ;
STRING : '"' ( ESCAPE | ~["\\\r\n\u0085\u000B\u000C\u2028\u2029] )* '"' ;
RAW : '#"' ~["\r\n]* ( '"' ~["#\r\n] ~["\r\n]* )* '"#' | '##"' .*? '"##' | '###"' .*? '"###' ;
KEYWORD : '#' [a-zA-Z-]+ ;
NUMBER : [+-]? '.'? [0-9] ( NUMBER_PART | '/' [a-zA-Z] | [\u00A0\u2009\u202F] [0-9] )* ;
WORD : WORD_PART+ ;

// Slips.
TYPOGRAPHIC : [\u2018\u2019\u201A\u201C\u201D\u201E\u00AB\u00BB]
              ( ~[\r\n\u2018\u2019\u201A\u201C\u201D\u201E\u00AB\u00BB{};]*
                [\u2018\u2019\u201A\u201C\u201D\u201E\u00AB\u00BB] )? ;
UNCLOSED_MULTILINE : '"""' ;
UNCLOSED : '"' ( ESCAPE | ~["\\\r\n\u0085\u000B\u000C\u2028\u2029] )* ;
BAD_ESCAPE : '"' ( '\\' ~[\r\n] | ~["\\\r\n\u0085\u000B\u000C\u2028\u2029] )* '"' ;
UNCLOSED_RAW : '#'+ '"' ;
ILLEGAL : . ;

fragment BREAK : [\r\n\u0085\u000B\u000C\u2028\u2029] ;
fragment BLANK : [\u0009\u0020\u00A0\u1680\u2000-\u200A\u202F\u205F\u3000] ;
fragment ESCAPE : '\\' ( [nrt"\\bfs] | 'u{' [0-9a-fA-F]+ '}' ) ;
fragment NUMBER_PART : ~[\u0000-\u0020\u007F\u0085\u00A0\u1680\u2000-\u200F\u2028-\u202F\u205F\u2066-\u2069\u3000\uFEFF(){}[\]/\\"#;=\u2018\u2019\u201A\u201C\u201D\u201E\u00AB\u00BB] ;
fragment WORD_PART : NUMBER_PART ;

mode REMARK;
DEEPER : '/*' -> channel(REMARKS), pushMode(REMARK) ;
REMARK_CLOSE : '*/' -> channel(REMARKS), popMode ;
INSIDE : ~[*/]+ -> channel(REMARKS) ;
INSIDE_ONE : [*/] -> channel(REMARKS) ;
