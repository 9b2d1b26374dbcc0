file(READ ${IN} text)
file(WRITE ${OUT} "#include <string_view>\nnamespace peridotgate::charts {\nextern const std::string_view k_${STEM};\nconst std::string_view k_${STEM} = R\"chart(${text})chart\";\n}\n")
